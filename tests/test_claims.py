"""At-most-once execution: the fold of claims, claimants, soak seeds."""

import random

from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sequoiawind import claims
from sequoiawind.claimant import Claimant
from sequoiawind.claims import Claim, ClaimTable, Outcome, Release, Settle
from sequoiawind.lab import soak
from sequoiawind.lab.log_model import LogModel
from sequoiawind.verdict import Reason, Verdict
from sequoiawind.wire import Reply

REPLY = Reply(status=200, content_type="application/json", body="e30=")


def claim(number: int, valid_until_s: float = 1000.0) -> Claim:
    """Return a claim of the key that these tests use."""
    return Claim(
        claim_id=f"c{number}",
        key="nordlys/k",
        digest="d",
        kind="drop",
        owner=f"r{number}",
        valid_until_s=valid_until_s,
    )


def fold(*nodes: claims.ClaimNode, times: tuple[float, ...] = ()) -> ClaimTable:
    """Return the table of nodes; by default they are a second apart."""
    table = ClaimTable()
    for offset, node in enumerate(nodes):
        time_s = times[offset] if times else float(offset)
        table.fold(offset, time_s, claims.make_record(node))
    return table


def holder(table: ClaimTable) -> str:
    """Return the id of the claim that holds the key; empty if none does."""
    entry = table.entries.get("nordlys/k")
    return entry.claim.claim_id if entry else ""


class FoldTest(TestCase):
    """The first claim in offset order wins, unless it is released."""

    def test_first_wins(self) -> None:
        self.assertEqual("c1", holder(fold(claim(1), claim(2))))

    def test_release_frees_the_key(self) -> None:
        release = Release(claim_id="c1", key="nordlys/k")
        self.assertEqual("", holder(fold(claim(1), release)))
        self.assertEqual("c2", holder(fold(claim(1), release, claim(2))))

    def test_only_the_holder_can_release(self) -> None:
        release = Release(claim_id="c2", key="nordlys/k")
        self.assertEqual("c1", holder(fold(claim(1), claim(2), release)))

    def test_release_voids_a_later_claim_of_its_id(self) -> None:
        release = Release(claim_id="c1", key="nordlys/k")
        self.assertEqual("", holder(fold(release, claim(1))))

    def test_no_release_after_the_outcome(self) -> None:
        outcome = Outcome(
            claim_id="c1", key="nordlys/k", known=True, reply=REPLY
        )
        release = Release(claim_id="c1", key="nordlys/k")
        self.assertEqual("c1", holder(fold(claim(1), outcome, release)))

    def test_claim_of_a_key_that_is_too_old_is_void(self) -> None:
        # The log may have dropped an earlier claim of the key by then.
        late = claim(1, valid_until_s=50.0)
        self.assertEqual("", holder(fold(late, times=(50.1,))))
        self.assertEqual("c1", holder(fold(late, times=(49.9,))))

    def test_settled_key_stays_settled(self) -> None:
        settle = Settle(
            key="nordlys/k", ran=False, actor="ops", because="asked"
        )
        table = fold(claim(1), settle, claim(2))
        self.assertEqual("c1", holder(table))
        entry = table.entries["nordlys/k"]
        self.assertFalse(entry.is_open)

    def test_unreadable_records_are_skipped(self) -> None:
        table = ClaimTable()
        for offset, data in enumerate(
            ("", "{", "[]", '{"verb":"claim","body":{},"v":1}', "\x00")
        ):
            table.fold(offset, 0.0, data)
        record = claims.make_record(claim(1))
        table.fold(5, 0.0, record.replace('"v":1', '"v":2'))
        self.assertEqual("", holder(table))
        self.assertEqual(6, table.next_offset)


class ClaimantTest(TestCase):
    """Claims are won, lost and abandoned, with a log that may fail."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.log = LogModel(clock=self.clock, random=random.Random(1))

    def claimant(self, name: str) -> Claimant:
        return Claimant(
            log=self.log,
            clock=self.clock,
            random=random.Random(name),
            owner=name,
        )

    def acquire(self, claimant: Claimant, wait_s: float = 10.0) -> object:
        """Acquire a new claim; keep it in `last_claim`, return the result."""
        new_claim = claimant.make_claim("nordlys/k", "d", "drop", "q", 1000.0)
        results: list[object] = []
        Deferred.fromCoroutine(claimant.acquire(new_claim)).addCallback(
            results.append
        )
        for _ in range(int(wait_s / 0.05)):
            self.clock.advance(0.05)
        self.last_claim = new_claim
        return results[0]

    def test_one_of_two_wins(self) -> None:
        first = self.acquire(self.claimant("a"))
        second = self.acquire(self.claimant("b"))
        self.assertTrue(first.is_ok())
        self.assertEqual(Reason.CLAIM_OPEN, second.error.reason)
        self.assertEqual(Verdict.MAY_HAVE_RUN, second.error.verdict)

    def test_repeat_gets_the_recorded_answer(self) -> None:
        winner = self.claimant("a")
        self.acquire(winner)
        winner.record_outcome(self.last_claim, REPLY)
        self.clock.advance(1.0)
        self.assertEqual(REPLY, self.acquire(self.claimant("b")).ok)

    def test_request_is_not_run_if_the_log_is_down(self) -> None:
        self.log.is_down = True
        result = self.acquire(self.claimant("a"))
        self.assertEqual(Reason.LOG_UNAVAILABLE, result.error.reason)
        self.assertEqual(Verdict.NOT_RUN, result.error.verdict)
        self.assertIsNotNone(result.error.retry_after_s)

    def test_lost_append_answer_is_resolved_by_reading(self) -> None:
        self.log.lost_answers = 1.0
        self.assertTrue(self.acquire(self.claimant("a")).is_ok())

    def test_abandoned_claim_is_released_when_the_log_is_back(self) -> None:
        self.log.lost_answers = 1.0
        claimant = self.claimant("a")
        # The append takes effect, then the log goes down before the read.
        self.clock.callLater(0.003, setattr, self.log, "is_down", True)
        self.log.latency_s = 0.002
        result = self.acquire(claimant)
        self.assertEqual(Verdict.NOT_RUN, result.error.verdict)
        self.log.is_down = False
        self.log.lost_answers = 0.0
        self.clock.advance(2.0)
        self.clock.advance(2.0)
        self.assertEqual(0, claimant.pending)
        self.assertTrue(self.acquire(self.claimant("b")).is_ok())

    def test_winner_outside_the_send_window_does_not_send(self) -> None:
        self.log.latency_s = 40.0
        result = self.acquire(self.claimant("a"), wait_s=200.0)
        self.assertEqual(Reason.CLAIM_EXPIRED, result.error.reason)
        self.assertEqual(Verdict.NOT_RUN, result.error.verdict)


class SoakFindingsTest(TestCase):
    """Seeds with which the soak run has found faults."""

    def test_claim_dropped_by_the_retention(self) -> None:
        # With these seeds a key was claimed again after the log had dropped
        # its first claim.
        for seed in (144, 378):
            self.assertEqual([], soak.run_seed(seed)[0])
