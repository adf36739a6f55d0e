"""Configuration on the log: races, lost answers, snapshots, outages."""

import itertools
import random

from testtools import TestCase
from twisted.internet.defer import Deferred

from sequoiawind import config_fold, defaults, invariants
from sequoiawind.blackboard import Blackboard
from sequoiawind.commands import Create, Delete, Drain, Set
from sequoiawind.config_fold import Folded
from sequoiawind.config_follower import ConfigFollower
from sequoiawind.lab.log_model import LogModel
from sequoiawind.lab.virtual_clock import VirtualClock
from sequoiawind.verdict import Verdict


class FollowerTestCase(TestCase):
    """Fixture of the tests of followers."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = VirtualClock()
        self.source = random.Random(2)
        self.log = LogModel(
            clock=self.clock, random=random.Random(1), retention_s=100.0
        )

    def make_follower(self) -> ConfigFollower:
        return ConfigFollower(
            board=Blackboard(),
            log=self.log,
            clock=self.clock,
            random=self.source,
            wall=self.clock.seconds,
            retention_s=100.0,
        )

    def start_follower(self) -> ConfigFollower:
        follower = self.make_follower()
        Deferred.fromCoroutine(follower.run())
        return follower

    def run_for(self, seconds: float) -> None:
        self.clock.advance_to(self.clock.seconds() + seconds)

    def submit(
        self, follower: ConfigFollower, name: str, based_on: int = -1
    ) -> list:
        results: list = []
        command = Create(table="kinds", name=name)
        Deferred.fromCoroutine(
            follower.submit(command, "ops", based_on)
        ).addCallback(results.append)
        return results


class SubmitTest(FollowerTestCase):
    """A command is reported as accepted only once it is logged and folded."""

    def test_command_based_on_an_old_revision_is_rejected(self) -> None:
        first, second = self.start_follower(), self.start_follower()
        results = [
            self.submit(first, "a", based_on=-1),
            self.submit(second, "b", based_on=0),
            self.submit(first, "c", based_on=0),
        ]
        self.run_for(3.0)
        rejections = [result[0].ok.rejection for result in results]
        self.assertEqual(["", ""], rejections[:2])
        self.assertIn("based on revision 0", rejections[2])

    def test_lost_answer_is_resolved_by_reading(self) -> None:
        self.log.lost_answers = 1.0
        result = self.submit(self.start_follower(), "a")
        self.run_for(3.0)
        self.assertEqual("", result[0].ok.rejection)

    def test_outage_leaves_the_outcome_unknown(self) -> None:
        follower = self.start_follower()
        self.log.is_down = True
        result = self.submit(follower, "a")
        self.run_for(5.0)
        self.assertEqual(Verdict.MAY_HAVE_RUN, result[0].error.verdict)
        self.assertNotIn("a", follower.board.state.kinds)

    def test_throttled_is_not_run(self) -> None:
        self.log.appends_per_s = 0.0
        self.log.tokens = 0.0
        result = self.submit(self.start_follower(), "a")
        self.run_for(5.0)
        self.assertEqual(Verdict.NOT_RUN, result[0].error.verdict)

    def test_in_force_everywhere_within_5_s(self) -> None:
        followers = [self.start_follower() for _ in range(100)]
        self.run_for(2.0)
        self.submit(followers[0], "a")
        self.run_for(5.0)
        for follower in followers:
            self.assertIn("a", follower.board.state.kinds)


class SnapshotTest(FollowerTestCase):
    """Snapshots cover records before the log's retention deletes them."""

    def test_new_process_starts_from_a_snapshot(self) -> None:
        current = self.start_follower()
        self.submit(current, "a")
        self.run_for(500.0)
        self.assertEqual([], self.log.stream(defaults.CONFIG_STREAM).records)
        newcomer = self.start_follower()
        self.run_for(5.0)
        self.assertEqual(
            config_fold.digest(current.board.state),
            config_fold.digest(newcomer.board.state),
        )
        self.assertIn("a", newcomer.board.state.kinds)

    def test_snapshots_outlive_the_readers_of_the_records(self) -> None:
        """A process that started from a snapshot appends later ones itself."""
        first = self.start_follower()
        self.submit(first, "a")
        self.run_for(150.0)
        second = self.start_follower()
        self.run_for(5.0)
        first.is_stopped = True
        self.run_for(500.0)
        second.is_stopped = True
        third = self.start_follower()
        self.run_for(5.0)
        self.assertIn("a", third.board.state.kinds)

    def test_lagging_reader_continues_from_a_snapshot(self) -> None:
        current, lagging = self.start_follower(), self.make_follower()
        Deferred.fromCoroutine(lagging.catch_up())
        for name in ("a", "b"):
            self.submit(current, name)
            self.run_for(150.0)
        Deferred.fromCoroutine(lagging.catch_up())
        self.run_for(1.0)
        self.assertEqual({"a", "b"}, set(lagging.board.state.kinds))

    def test_follower_continues_after_two_outages(self) -> None:
        current = self.start_follower()
        self.submit(current, "a")
        self.run_for(3.0)
        for _ in range(2):
            self.log.is_down = True
            self.run_for(30.0)
            self.log.is_down = False
            self.run_for(0.5)
        self.submit(current, "b")
        self.run_for(3.0)
        self.assertEqual({"a", "b"}, set(current.board.state.kinds))

    def test_damaged_or_unknown_snapshot_is_rejected(self) -> None:
        text = config_fold.snapshot(Folded())
        self.assertIsNotNone(config_fold.restore(text))
        self.assertIsNone(config_fold.restore(text.replace("-1", "5")))
        self.assertIsNone(config_fold.restore(text[:-2]))
        self.assertIsNone(config_fold.restore(text.replace('"v":1', '"v":9')))


class FoldTest(TestCase):
    """Which records the fold accepts, rejects and skips."""

    def setUp(self) -> None:
        super().setUp()
        self.numbers = itertools.count()

    def fold(self, *records: str) -> Folded:
        folded = Folded()
        for offset, record in enumerate(records):
            folded = config_fold.fold(folded, offset, record)
        return folded

    def record(self, command: object, based_on: int = -1) -> str:
        number = next(self.numbers)
        return config_fold.make_record(str(number), "ops", command, based_on)

    def test_unreadable_and_unknown_records_are_skipped(self) -> None:
        good = self.record(Create(table="kinds", name="a"))
        folded = self.fold(
            "", "{}", good.replace('"v":1', '"v":2'), '{"v":1}', good
        )
        self.assertEqual({"a"}, set(folded.state.kinds))
        self.assertEqual(4, folded.state.revision)

    def test_duplicate_record_is_applied_once(self) -> None:
        record = self.record(Create(table="kinds", name="a"))
        folded = self.fold(record, record)
        self.assertEqual(0, folded.state.revision)
        self.assertEqual(1, len(folded.decisions))

    def test_references_are_enforced(self) -> None:
        pool = Create(table="pools", name="p")
        target = Create(table="targets", name="t", fields={"pool": "p"})
        folded = self.fold(
            self.record(target),
            self.record(pool),
            self.record(
                Create(table="targets", name="t", fields=target.fields)
            ),
            self.record(Delete(table="pools", name="p")),
            self.record(Drain(target="x", because="")),
            self.record(Set(table="kinds", name="k", field="a", value=1)),
        )
        rejections = [item.rejection for item in folded.decisions]
        self.assertEqual(
            [
                "pools 'p' does not exist",
                "",
                "",
                "'p' is used by targets 't'",
                "targets 'x' does not exist",
                "kinds 'k' does not exist",
            ],
            rejections,
        )

    def test_wrong_values_are_rejected(self) -> None:
        for command in (
            Create(table="kinds", name="k", fields={"repeat": "often"}),
            Create(table="kinds", name="k", fields={"priority": "high"}),
            Create(table="kinds", name="k", fields={"colour": "red"}),
            Create(table="moons", name="k"),
        ):
            folded = self.fold(self.record(command))
            self.assertNotEqual("", folded.decisions[0].rejection)

    def test_a_configuration_never_reverts(self) -> None:
        self.addCleanup(invariants.violations.clear)
        board = Blackboard()
        newer = self.fold(self.record(Create(table="kinds", name="a")))
        board.put_config(newer)
        self.assertFalse(board.offer_config(Folded()))
        self.assertRaises(invariants.InvariantError, board.put_config, Folded())
