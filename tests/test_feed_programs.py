"""What routers and agents do with the feed: records, caches, ages."""

import random
from typing import Any

import attrs
import structlog
from expression import Error, Ok, Result
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sequoiawind.blackboard import Blackboard
from sequoiawind.cache_watcher import CacheWatcher
from sequoiawind.feed_messages import (
    CacheItem,
    FeedReply,
    PartItem,
    RecordItem,
    entries_of,
)
from sequoiawind.feed_publisher import (
    CachePublisher,
    CrashPublisher,
    OperatorPublisher,
    TargetPublisher,
)
from sequoiawind.feed_reader import FeedReader
from sequoiawind.feed_relay import FeedRelay
from sequoiawind.feed_table import FeedTable, Level, Topic
from sequoiawind.fleet import EQUAL_SHARE, Fleet, TargetView
from sequoiawind.forward_ports import CacheChanges, PartChange
from sequoiawind.forward_readers import (
    OperatorCodec,
    OperatorReader,
    TargetReader,
)
from sequoiawind.freshness import Freshness
from sequoiawind.lab.memory_crash_log import MemoryCrashLog
from sequoiawind.prompt_cache import Prompt, PromptPart
from sequoiawind.record_ports import KeyedRecord
from sequoiawind.request_signature import (
    RequestSignature,
    part_names,
    whole_name,
)
from sequoiawind.verdict import Failure, Reason, may_have_run, not_run
from tests.forward_rig import FakePort, ForwardRig, state, target
from tests.test_record_followers import NamedWeights

PROMPT = Prompt(
    model="m",
    tokens=200,
    max_tokens=10,
    parts=(PromptPart(id="bad", tokens=100), PromptPart(id="own", tokens=100)),
)


def signature(number: int) -> RequestSignature:
    """Return the signature of one of several requests with that prompt."""
    whole = whole_name(b"%d" % number)
    return RequestSignature(whole=whole, parts=part_names(PROMPT))


CODEC = OperatorCodec(
    config_key="config",
    weights_prefix="w/",
    config=lambda value: state(int(value)),
    weights=lambda value: NamedWeights(model="m", version=int(value)),
)


def target_reader(fleet: Fleet, clock: Clock) -> TargetReader:
    """Return a reader for entries that hold nothing but their name."""
    return TargetReader(
        fleet=fleet,
        decode=lambda name, value: Ok(target(name, "llm")),
        clock=clock,
        log=structlog.get_logger(),
    )


def reply(**fields: Any) -> FeedReply:
    """Return a reply with default fields."""
    defaults: dict[str, Any] = {
        "run": 1,
        "number": 1,
        "is_whole": False,
        "relay": "e1",
        "operator_age_s": -1.0,
        "targets_age_s": -1.0,
        "routers": 2,
    }
    return FeedReply(**{**defaults, **fields})


class FeedReaderTest(TestCase):
    """A router applies what a relay tells it."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.fleet = Fleet()
        self.board = Blackboard()
        self.freshness = Freshness(
            revoke_s=5.0, in_force_s=2.0, now=self.clock.seconds
        )
        self.caches = CacheWatcher(
            port=FakePort(),
            clock=self.clock,
            random=random.Random(1),
            log=structlog.get_logger(),
        )
        self.crashes = ForwardRig(clock=self.clock).forwarder.crashes
        self.reader = FeedReader(
            fleet=self.fleet,
            operator=OperatorReader(
                board=self.board,
                codec=CODEC,
                log=structlog.get_logger(),
                freshness=self.freshness,
            ),
            targets=attrs.evolve(
                target_reader(self.fleet, self.clock),
                age_clock=self.clock.seconds,
            ),
            crashes=self.crashes,
            caches=self.caches,
            clock=self.clock,
            capacity_of=lambda name: 10_000,
            on_status=lambda name: None,
            age_clock=self.clock.seconds,
        )

    def test_age_of_a_relays_records(self) -> None:
        # Asked at 1.0, answered at 1.4 with records that were 0.7 s old: what
        # was written after 0.3 may be missing.
        self.clock.advance(1.4)
        self.reader.take(reply(operator_age_s=0.7), 1.0)
        self.assertAlmostEqual(1.1, self.freshness.age_s)
        self.clock.advance(1.0)
        self.reader.take(reply(), 2.3)
        self.assertAlmostEqual(2.1, self.freshness.age_s)

    def test_whole_reply_removes_targets_that_it_lacks(self) -> None:
        for name in ("e1", "e2"):
            self.fleet.put(target(name, "llm"))
        self.clock.advance(10.0)
        records = [RecordItem("target", "e1", (0, 3), b"x")]
        # A relay that cannot say how old its entries are removes none.
        self.reader.take(reply(is_whole=True, records=records), 0.0)
        self.assertEqual(2, len(self.fleet.views))
        whole = reply(is_whole=True, records=records, targets_age_s=0.2)
        self.reader.take(whole, 10.0)
        self.assertEqual(["e1"], list(self.fleet.views))

    def test_whole_reply_keeps_targets_that_may_be_newer_than_it(self) -> None:
        # A relay that had not read the store for 2 s was asked by a router
        # that had just read it: the router lost most targets for the day.
        entry = KeyedRecord(key="e2", value=b"x", stamp=(0, 5))
        self.clock.advance(9.0)
        self.reader.targets.changed(entry)
        self.clock.advance(1.0)
        self.reader.take(reply(is_whole=True, targets_age_s=2.0), 10.0)
        self.assertEqual(["e2"], list(self.fleet.views))
        # One that has read the store since knows that the target is gone.
        self.reader.take(reply(is_whole=True, targets_age_s=0.5), 10.0)
        self.assertEqual([], list(self.fleet.views))

    def crash_records(self) -> list[RecordItem]:
        """Return what another router has recorded of a part."""
        log = MemoryCrashLog()
        other = ForwardRig(clock=self.clock, crash_log=log)
        for number in range(3):
            view = TargetView(target=target(f"e{number}", "llm"))
            lost = may_have_run(Reason.CONNECTION_LOST)
            other.forwarder.crashes.attempt_broken(
                view, signature(number), -1.0, lost
            )
            self.clock.advance(1.0)
        return [
            RecordItem("crash", item.key, item.stamp, item.value)
            for item in log.records
        ]

    def test_router_that_saw_no_crash_learns_of_them_from_a_relay(self) -> None:
        records = self.crash_records()
        self.reader.take(reply(records=records[:2]), 0.0)
        self.assertIsNone(self.crashes.refusal(signature(9)))
        self.reader.take(reply(records=records[2:]), 0.0)
        self.assertIsNotNone(self.crashes.refusal(signature(9)))

    def test_router_that_just_started_learns_of_them_from_a_relay(self) -> None:
        records = self.crash_records()
        self.reader.take(reply(is_whole=True, records=records), 0.0)
        self.assertIsNotNone(self.crashes.refusal(signature(9)))

    def test_records_of_a_newer_release_are_ignored(self) -> None:
        newer = reply(records=[RecordItem("newer", "k", (0, 1), b"x")])
        self.reader.take(newer, 0.0)
        self.assertEqual([], list(entries_of(newer, Level.ALL)))

    def test_demand_gives_the_part_of_limits(self) -> None:
        self.reader.own_demand_per_s = lambda: 2.0
        self.reader.take(reply(routers=4, demand_per_s=8.0), 0.0)
        expected = EQUAL_SHARE / 4 + (1.0 - EQUAL_SHARE) * 2.0 / 8.0
        self.assertAlmostEqual(expected, self.fleet.limit_share(0.0))

    def held(self) -> int:
        """Return the tokens of the part "p" that the cache of e1 holds."""
        part = PromptPart(id="p", tokens=50)
        return self.caches.index.holders_of("s", part).get("e1", 0)

    def test_parts_count_for_the_generation_of_their_cache(self) -> None:
        part = PartItem("e1", "s", "p", (7, 1), 50)
        cache = CacheItem("e1", (7, 0), 7, True)
        self.reader.take(reply(caches=[cache], parts=[part]), 0.0)
        self.assertEqual(50, self.held())
        # The cache was emptied; a change from before arrives late.
        emptied = CacheItem("e1", (8, 0), 8, True)
        self.reader.take(reply(caches=[emptied], parts=[part]), 0.0)
        self.assertEqual(0, self.held())

    def test_other_relay_replaces_what_the_last_one_told(self) -> None:
        cache = CacheItem("e1", (7, 0), 7, True)
        part = PartItem("e1", "s", "p", (7, 1), 50)
        self.reader.take(reply(caches=[cache], parts=[part]), 0.0)
        self.reader.take(reply(is_whole=True, caches=[cache]), 0.0)
        self.assertEqual(0, self.held())


class PublisherTest(TestCase):
    """An agent publishes what it reads from the store."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.fleet = Fleet()
        self.relay = FeedRelay(
            name="e1",
            address="e1:1",
            agent_port=1,
            domain="d",
            fleet=self.fleet,
            clock=self.clock,
            age_clock=self.clock.seconds,
            table=FeedTable(run=1, clock=self.clock),
            make_client=lambda **fields: None,  # type: ignore[arg-type,return-value]
        )

    def value(self, topic: Topic, name: str) -> Any:
        """Return what is published."""
        stored = self.relay.table.entries.get((topic, name))
        return stored.entry.value if stored else None

    def test_crashes_are_published_for_other_domains_and_readers(self) -> None:
        publisher = CrashPublisher(relay=self.relay)
        publisher.replaced([KeyedRecord(key="a", value=b"1", stamp=(0, 1))])
        publisher.take(
            reply(
                records=[
                    RecordItem("crash", "b", (0, 2), b"2"),
                    RecordItem("target", "c", (0, 3), b"3"),
                ]
            )
        )
        for key, expected in (("a", b"1"), ("b", b"2"), ("c", None)):
            self.assertEqual(expected, self.value(Topic.CRASH, key))
        stored = self.relay.table.entries[(Topic.CRASH, "a")].entry
        self.assertEqual((Level.DOMAIN, True), (stored.level, stored.is_urgent))
        # Older ones, by another way, change nothing.
        publisher.changed(KeyedRecord(key="a", value=b"0", stamp=(0, 0)))
        self.assertEqual(b"1", self.value(Topic.CRASH, "a"))

    def test_configuration_from_an_old_copy_is_not_published(self) -> None:
        publisher = OperatorPublisher(
            reader=OperatorReader(
                board=Blackboard(), codec=CODEC, log=structlog.get_logger()
            ),
            relay=self.relay,
        )
        for value, expected in ((b"7", b"7"), (b"5", b"7"), (b"8", b"8")):
            record = KeyedRecord(key="config", value=value, stamp=(1, 1))
            publisher.replaced([record])
            self.assertEqual(expected, self.value(Topic.OPERATOR, "config"))
        publisher.replaced([KeyedRecord(key="config", value=b"6")])
        self.clock.advance(3.0)
        publisher.confirmed(3.0)
        self.assertEqual(None, self.relay.operator_as_of_s)
        publisher.replaced([KeyedRecord(key="config", value=b"8")])
        publisher.confirmed(3.0)
        self.assertEqual(3.0, self.relay.operator_as_of_s)

    def test_removal_of_a_target_is_published(self) -> None:
        publisher = TargetPublisher(
            reader=target_reader(self.fleet, self.clock),
            relay=self.relay,
            fleet=self.fleet,
        )
        entry = KeyedRecord(key="e9", value=b"x", stamp=(1, 4))
        publisher.changed(entry)
        # An older entry of another relay changes nothing, and does not lower
        # the stamp of the removal below.
        older = RecordItem("target", "e9", (1, 2), b"old")
        publisher.take(reply(records=[older]))
        self.assertEqual(b"x", self.value(Topic.TARGET, "e9"))
        # While the store is away, a missing entry may only have expired.
        publisher.store_lost("cut")
        publisher.replaced([])
        self.assertEqual(b"x", self.value(Topic.TARGET, "e9"))
        publisher.store_back()
        self.clock.advance(5.0)
        publisher.confirmed(5.0)
        self.assertEqual(None, self.value(Topic.TARGET, "e9"))
        publisher.changed(KeyedRecord(key="e9", value=b"y", stamp=(1, 6)))
        self.assertEqual(b"y", self.value(Topic.TARGET, "e9"))


class CachePublisherTest(TestCase):
    """An agent publishes what its target's cache holds."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.answers: list[Result[CacheChanges, Failure]] = []
        self.relay = FeedRelay(
            name="e1",
            address="e1:1",
            agent_port=1,
            domain="d",
            fleet=Fleet(),
            clock=self.clock,
            age_clock=self.clock.seconds,
            table=FeedTable(run=1, clock=self.clock),
            make_client=lambda **fields: None,  # type: ignore[arg-type,return-value]
        )
        self.publisher = CachePublisher(
            address="e1:80",
            name=lambda: "e1",
            level=Level.OWN,
            port=self,
            relay=self.relay,
            clock=self.clock,
            log=structlog.get_logger(),
            generation=100,
        )

    async def cache_changes(
        self, address: str, since: int, wait_s: float, timeout_s: float
    ) -> Result[CacheChanges, Failure]:
        self.since = since
        return self.answers.pop(0)

    def step(
        self, epoch: int, number: int, *parts: str, has_gap: bool = False
    ) -> set[str]:
        """Let the publisher read an answer; return the published parts."""
        changes = [
            PartChange(
                salt="s", part=name.strip("-"), tokens=0 if "-" in name else 9
            )
            for name in parts
        ]
        self.answers.append(
            Ok(
                CacheChanges(
                    epoch=epoch,
                    next_number=number,
                    has_gap=has_gap,
                    changes=changes,
                )
            )
        )
        return self.run_step()

    def run_step(self) -> set[str]:
        Deferred.fromCoroutine(self.publisher.step())
        self.clock.advance(10.0)
        return {
            key[3]
            for key, stored in self.relay.table.entries.items()
            if key[0] is Topic.PART and stored.entry.value is not None
        }

    def test_parts_since_the_last_restart_or_gap(self) -> None:
        self.assertEqual({"a", "b"}, self.step(1, 3, "a", "b"))
        self.assertEqual({"b", "c"}, self.step(1, 5, "-a", "c"))
        self.assertEqual(3, self.since)
        self.assertEqual({"d"}, self.step(1, 9, "d", has_gap=True))
        self.assertEqual({"e"}, self.step(2, 1, "e"))
        self.answers.append(Error(not_run(Reason.CONNECT_FAILED)))
        self.assertEqual(set(), self.run_step())
        stored = self.relay.table.entries[(Topic.CACHE, "e1")]
        self.assertFalse(stored.entry.value[1])
        # It reads everything again once the cache answers.
        self.assertEqual({"e", "f"}, self.step(2, 3, "e", "f"))
        self.assertEqual(0, self.since)
