"""Followers and readers of the store's records."""

import random

import attrs
import structlog
from expression import Error, Ok, Result
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sequoiawind.blackboard import Blackboard
from sequoiawind.feed_cover import FeedCover
from sequoiawind.fleet import Fleet
from sequoiawind.forward_readers import (
    OperatorCodec,
    OperatorReader,
    TargetReader,
)
from sequoiawind.freshness import Freshness
from sequoiawind.record_follower import RecordFollower
from sequoiawind.record_ports import (
    KeyedPage,
    KeyedRecord,
    ReadFailure,
    RecordsLost,
)
from sequoiawind.verdict import Reason, may_have_run
from tests.forward_rig import state, target


class FakeStore:
    """Returns a test's prepared answers, in order."""

    def __init__(self, *answers: Result[KeyedPage, ReadFailure]) -> None:
        self.answers = list(answers)
        self.requests: list[str] = []

    async def newest(
        self, topic: str, after: str, timeout_s: float
    ) -> Result[KeyedPage, ReadFailure]:
        self.requests.append(f"newest {after}".strip())
        return self.answers.pop(0)

    async def read(
        self, topic: str, start: int, wait_s: float, timeout_s: float
    ) -> Result[KeyedPage, ReadFailure]:
        self.requests.append(f"read {start}")
        return self.answers.pop(0)


class RecordingReader:
    """Records the calls that the follower makes to its reader."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def replaced(self, records: list[KeyedRecord]) -> None:
        self.calls.append("all " + " ".join(item.key for item in records))

    def changed(self, record: KeyedRecord) -> None:
        self.calls.append(f"changed {record.key}")

    def confirmed(self, request_time_s: float) -> None:
        self.calls.append(f"as of {request_time_s:g}")

    def store_lost(self, detail: str) -> None:
        self.calls.append("lost")

    def store_back(self) -> None:
        self.calls.append("back")

    def store_rewound(self, era: int) -> None:
        self.calls.append(f"era {era}")


def page(
    end: int, *keys: str, has_more: bool = False, era: int = 0
) -> KeyedPage:
    """Return a page of records."""
    records = [KeyedRecord(key=key, value=b"v") for key in keys]
    return KeyedPage(records=records, end=end, has_more=has_more, era=era)


class FollowerTest(TestCase):
    """After any failure of the store, the newest records are read again."""

    def follow(
        self, *answers: Result[KeyedPage, ReadFailure]
    ) -> tuple[list[str], list[str]]:
        clock, reader, store = Clock(), RecordingReader(), FakeStore(*answers)
        follower = RecordFollower(
            topic="t",
            port=store,
            reader=reader,
            clock=clock,
            random=random.Random(1),
            wait_s=1.0,
            age_clock=clock.seconds,
            log=structlog.get_logger(),
        )
        for _ in answers:
            if not store.answers:
                break
            Deferred.fromCoroutine(follower.step())
            clock.advance(1.0)
        return store.requests, reader.calls

    def test_pages_form_one_list_and_changes_follow_the_first(self) -> None:
        requests, calls = self.follow(
            Ok(page(7, "a", has_more=True)), Ok(page(9, "b")), Ok(page(8, "c"))
        )
        self.assertEqual(["newest", "newest a", "read 7"], requests)
        self.assertEqual(["all a b", "as of 0", "changed c", "as of 1"], calls)

    def test_all_records_are_read_again_if_some_were_lost(self) -> None:
        requests, calls = self.follow(
            Ok(page(7, "a")), Error(RecordsLost()), Ok(page(20, "b"))
        )
        self.assertEqual(["newest", "read 7", "newest"], requests)
        self.assertEqual(["all a", "as of 0", "all b", "as of 2"], calls)

    def test_all_records_are_read_again_after_an_outage(self) -> None:
        lost = Error(may_have_run(Reason.CONNECTION_LOST, "reset"))
        requests, calls = self.follow(
            Ok(page(7, "a")), lost, lost, Ok(page(9, "a"))
        )
        self.assertEqual(["newest", "read 7", "newest", "newest"], requests)
        self.assertEqual(
            ["all a", "as of 0", "lost", "back", "all a", "as of 3"], calls
        )

    def test_new_era_makes_all_offsets_void(self) -> None:
        # The copy that the store returned from has fewer records, and gives
        # their offsets out again: those read from 9 on are no continuation.
        requests, calls = self.follow(
            Ok(page(9, "a", era=1)),
            Ok(page(10, "b", era=2)),
            Ok(page(4, "a", era=2)),
            Ok(page(4, era=2)),
            Ok(page(5, "c", era=2)),
        )
        self.assertEqual(
            ["newest", "read 9", "newest", "read 4", "read 4"], requests
        )
        # What the copy lacks is written again within ERA_SETTLE_S; before, an
        # answer does not prove that the records are current.
        self.assertEqual(
            [
                "all a",
                "as of 0",
                "era 2",
                "all a",
                "as of 3",
                "changed c",
                "as of 4",
            ],
            calls,
        )

    def test_new_era_is_seen_when_the_offset_is_gone(self) -> None:
        requests, calls = self.follow(
            Ok(page(9, "a", era=1)),
            Error(RecordsLost(era=2)),
            Ok(page(4, "a", era=2)),
        )
        self.assertEqual(["newest", "read 9", "newest"], requests)
        self.assertEqual(["all a", "as of 0", "era 2", "all a"], calls)

    def test_reads_only_while_no_other_process_provides_the_records(
        self,
    ) -> None:
        clock, reader = Clock(), RecordingReader()
        store = FakeStore(Ok(page(7, "a")), Ok(page(8, "b")))
        is_given = False
        follower = RecordFollower(
            topic="t",
            port=store,
            reader=reader,
            clock=clock,
            random=random.Random(1),
            wait_s=1.0,
            age_clock=clock.seconds,
            log=structlog.get_logger(),
            cover=FeedCover(clock=clock, left_s=lambda: float(is_given)),
        )
        Deferred.fromCoroutine(follower.step())
        is_given = True
        Deferred.fromCoroutine(follower.step())
        clock.pump([0.1] * 50)
        self.assertEqual(["newest"], store.requests)
        is_given = False
        clock.pump([0.1] * 10)
        Deferred.fromCoroutine(follower.step())
        # Another process has read on meanwhile, so all are read again.
        self.assertEqual(["newest", "newest"], store.requests)


@attrs.frozen(kw_only=True)
class NamedWeights:
    """Stand-in of a decoded weights version."""

    model: str
    version: int


class OperatorReaderTest(TestCase):
    """A configuration from an old copy of the store proves nothing."""

    def test_older_configuration_does_not_confirm(self) -> None:
        now_s = 0.0
        freshness = Freshness(revoke_s=5.0, in_force_s=2.0, now=lambda: now_s)
        reader = OperatorReader(
            board=Blackboard(),
            codec=OperatorCodec(
                config_key="config",
                weights_prefix="w/",
                config=lambda value: state(int(value)),
                weights=lambda value: NamedWeights(
                    model="m", version=int(value)
                ),
            ),
            log=structlog.get_logger(),
            freshness=freshness,
        )

        def read(value: bytes) -> None:
            reader.replaced([KeyedRecord(key="config", value=value)])
            reader.confirmed(now_s)

        read(b"7")
        self.assertEqual(0.0, freshness.age_s)
        now_s = 3.0
        read(b"5")
        self.assertEqual(7, reader.board.state.revision)
        self.assertEqual(3.0, freshness.age_s)
        now_s = 4.0
        read(b"7")
        self.assertEqual(0.0, freshness.age_s)
        # An older one that is written now does not come from an old copy.
        now_s = 5.0
        reader.changed(KeyedRecord(key="config", value=b"6"))
        reader.confirmed(now_s)
        self.assertEqual(7, reader.board.state.revision)
        self.assertEqual(0.0, freshness.age_s)
        # Nor does it later, when all records are read again.
        now_s = 6.0
        read(b"6")
        self.assertEqual(7, reader.board.state.revision)
        self.assertEqual(0.0, freshness.age_s)
        # Any other does, and after a return from a copy that one as well.
        now_s = 7.0
        read(b"5")
        self.assertEqual(1.0, freshness.age_s)
        read(b"6")
        self.assertEqual(0.0, freshness.age_s)
        reader.store_rewound(2)
        now_s = 8.0
        read(b"6")
        self.assertEqual(1.0, freshness.age_s)


class TargetReaderTest(TestCase):
    """Entries arrive from the store and from relays; the newest one counts."""

    def test_older_entries_are_ignored(self) -> None:
        fleet = Fleet()
        reader = TargetReader(
            fleet=fleet,
            decode=lambda name, value: Ok(
                target(name, is_draining=value == b"draining")
            ),
            clock=Clock(),
            log=structlog.get_logger(),
        )

        def read(value: bytes | None, *stamp: int) -> str:
            record = KeyedRecord(
                key="t1", value=value, stamp=(stamp[0], stamp[1])
            )
            reader.changed(record)
            view = fleet.views.get("t1")
            if view is None:
                return "gone"
            return "draining" if view.target.is_draining else "ready"

        self.assertEqual("ready", read(b"ready", 1, 5))
        self.assertEqual("draining", read(b"draining", 1, 7))
        self.assertEqual("draining", read(b"ready", 1, 6))
        self.assertEqual("gone", read(None, 1, 8))
        self.assertEqual("gone", read(b"draining", 1, 7))
        # After a rewind the offsets begin again, in a new era.
        self.assertEqual("ready", read(b"ready", 2, 3))

    def test_removed_entry_does_not_return_from_a_relay_that_lags(
        self,
    ) -> None:
        fleet, clock = Fleet(), Clock()
        reader = TargetReader(
            fleet=fleet,
            decode=lambda name, value: Ok(target(name)),
            clock=clock,
            log=structlog.get_logger(),
            age_clock=clock.seconds,
        )
        entry = KeyedRecord(key="t1", value=b"x", stamp=(1, 5))
        reader.changed(entry)
        # The read that lacks it may have begun before it was written.
        clock.advance(0.5)
        reader.replaced([])
        self.assertEqual({}, fleet.views)
        reader.changed(entry)
        self.assertEqual(["t1"], list(fleet.views))
        clock.advance(2.5)
        reader.replaced([])
        self.assertEqual({}, fleet.views)
        reader.changed(entry)
        self.assertEqual({}, fleet.views)
        reader.changed(KeyedRecord(key="t1", value=b"x", stamp=(1, 6)))
        self.assertEqual(["t1"], list(fleet.views))
