"""The store returns from a copy and lacks what it acknowledged last."""

import itertools
import json
import random

import attrs
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from sequoiawind.fleet import TargetView
from sequoiawind.http1_client import Http1Client
from sequoiawind.lab.memory_crash_log import MemoryCrashLog
from sequoiawind.lab.memory_origin_log import MemoryOriginLog
from sequoiawind.options import Address
from sequoiawind.origin_registry import OriginRecord
from sequoiawind.platform.store import StoreClient
from sequoiawind.record_ports import KeyedRecord
from sequoiawind.software_memory import SOFTWARE_MEMORY_S
from sequoiawind.store_era import StoreEra
from sequoiawind.stream_origins import StreamOrigin
from tests.forward_rig import KINDS, FakeCaller, ForwardRig, state, target
from tests.stand_ins import accept
from tests.test_crashing_parts import (
    CRASHES_TO_BLOCK,
    prompt_of,
    refuses,
    signature_of,
)
from tests.test_feed import FeedRig
from tests.test_software_versions import LOST, begin, events, make_rig

V1 = StreamOrigin(pool="llm", software="v1")
V2 = StreamOrigin(pool="llm", software="v2")


class StreamTest(TestCase):
    """Streams that callers resume after a drill."""

    def setUp(self) -> None:
        super().setUp()
        self.log = MemoryOriginLog(era=1)
        self.first, self.second = self.router(), self.router()

    def router(self) -> ForwardRig:
        """Return a router before targets of two versions."""
        rig = make_rig(e1="v1", e2="v2", e3="v1", e4="v2")
        rig.forwarder.origins.port = self.log
        rig.forwarder.origins.log_era.seen(1)
        return rig

    def drill(self, *rigs: ForwardRig) -> None:
        """Let the log lose all; routers learn that it is of another era."""
        self.log.records.clear()
        self.log.era += 1
        for rig in rigs:
            rig.forwarder.origins.log_era.seen(self.log.era)

    def check_goes_on(self, rig: ForwardRig, stream: str, at: str) -> None:
        """Check that a stream goes on at a version."""
        sends = len(rig.port.sent)
        rig.submit("draft", last_event_id="2", resumes=stream)
        rig.advance(0.6)
        sent = [item.order.target.software for item in rig.port.sent[sends:]]
        self.assertEqual([at], sent)

    def test_streams_are_recorded_again(self) -> None:
        # Guards against streams that no other router can continue.
        _, software = begin(self.first, at="v2", request_id="s")
        self.first.advance(0.3)
        for _ in range(2):
            self.drill(self.first)
            self.first.advance(0.3)
            self.check_goes_on(self.router(), "s", software)

    def test_stream_whose_caller_has_left_is_recorded_again(self) -> None:
        caller = FakeCaller()
        request = self.first.request("draft", request_id="s")
        forwarding = self.first.forwarder.submit(request, caller)
        assert forwarding is not None
        sent = self.first.port.sent[-1]
        sent.begin(200, events(1, 2))
        self.first.advance(0.3)
        forwarding.caller_disconnected()
        self.drill(self.first)
        self.first.advance(0.3)
        self.check_goes_on(self.second, "s", sent.order.target.software)

    def test_streams_are_recorded_again_after_a_failed_call(self) -> None:
        _, software = begin(self.first, at="v2", request_id="s")
        self.first.advance(0.3)
        self.log.is_available = False
        self.drill(self.first)
        self.first.advance(1.0)
        self.log.is_available = True
        self.first.advance(0.6)
        self.check_goes_on(self.second, "s", software)

    def test_stream_that_a_stop_breaks_off_is_recorded_again(self) -> None:
        # Guards against a drill of which the router has not heard.
        _, software = begin(self.first, at="v2", request_id="s")
        self.first.advance(0.3)
        origins = self.first.forwarder.origins
        origins.stop()
        self.first.advance(0.1)
        self.drill()
        self.first.forwarder.end_all()
        self.assertFalse(origins.is_idle)
        self.first.clock.advance(0.0)
        self.assertTrue(origins.is_idle)
        self.check_goes_on(self.second, "s", software)

    def test_stop_records_streams_of_one_version(self) -> None:
        # A second version may come before their callers resume them.
        rig = make_rig(e1="v1")
        rig.forwarder.origins.port = self.log
        rig.advance(1.0)
        begin(rig, request_id="s")
        rig.advance(1.0)
        self.assertEqual([], self.log.records)
        rig.forwarder.origins.stop()
        rig.clock.advance(0.0)
        self.assertEqual(
            [OriginRecord(request_id="s", origin=V1)], self.log.records
        )

    def test_long_stream_is_recorded_when_it_breaks(self) -> None:
        # Guards against forgetting a stream that is open for long.
        kinds = {
            name: attrs.evolve(kind, timeout_s=100.0)
            for name, kind in KINDS.items()
        }
        pools = self.first.board.state.pools
        self.first.configure(state(3, kinds=kinds, pools=pools))
        _, software = begin(
            self.first, at="v2", request_id="s", deadline_s=100.0
        )
        self.first.advance(0.3)
        sent = self.first.port.sent[-1]
        for number in range(3, 48):
            sent.sink.data(events(number))
            self.first.advance(1.0 if number % 9 else 0.1)
        self.assertTrue(self.first.clock.seconds() > SOFTWARE_MEMORY_S)
        self.assertEqual(1, self.first.forwarder.open_requests)
        begin(self.first, at="v1", request_id="other")
        self.drill(self.first)
        self.first.advance(0.3)
        self.check_goes_on(self.second, "s", software)


class ReaderTest(TestCase):
    """A router reads on in a log that has returned from a copy."""

    def setUp(self) -> None:
        super().setUp()
        self.log = MemoryOriginLog(era=1)
        self.rig = make_rig(e1="v1", e2="v2")
        self.rig.forwarder.origins.port = self.log

    def record(self, *names: str) -> None:
        """Let other routers record streams of v2."""
        for name in names:
            self.log.records.append(OriginRecord(request_id=name, origin=V2))

    def finds(self, name: str) -> bool:
        """Whether the router finds a stream."""
        found: list[bool] = []
        pending = self.rig.forwarder.origins.find(name, "llm")
        Deferred.fromCoroutine(pending).addCallback(
            lambda result: found.append(result.is_ok())
        )
        self.rig.advance(0.6)
        return found[0]

    def test_offset_that_is_gone(self) -> None:
        # The log answers 410, and its first record lies below.
        self.record("a", "b", "c")
        self.assertTrue(self.finds("c"))
        self.log.records, self.log.era = [], 2
        self.record("d")
        self.assertTrue(self.finds("d"))

    def test_offset_that_is_gone_in_the_era_that_is_known(self) -> None:
        self.record("a", "b", "c")
        self.assertTrue(self.finds("c"))
        self.log.records = []
        self.record("d")
        self.assertTrue(self.finds("d"))

    def test_offsets_that_are_given_out_again(self) -> None:
        self.record("a", "b")
        self.assertTrue(self.finds("b"))
        self.log.records, self.log.era = [], 2
        self.record("c", "d", "e", "f")
        for name in ("c", "d", "e", "f"):
            self.assertTrue(self.finds(name), name)

    def test_answer_of_an_earlier_era_is_ignored(self) -> None:
        # One that was under way must not take the reader back.
        self.log.era = 2
        self.record("a")
        self.assertTrue(self.finds("a"))
        self.log.era = 1
        self.assertFalse(self.finds("b"))
        self.assertEqual(2, self.rig.forwarder.origins.era)
        self.log.era = 2
        self.record("c")
        self.assertTrue(self.finds("c"))

    def test_log_without_what_it_names_ends_the_lookup(self) -> None:
        self.log.first = 5
        self.log.records = []
        self.rig.forwarder.origins.next_offset = 9
        self.rig.forwarder.origins.era = 7
        self.assertFalse(self.finds("a"))


class CrashTest(TestCase):
    """What routers know of requests that crash targets."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.log = MemoryCrashLog(era=1)
        self.routers: list[ForwardRig] = []

    def router(self, name: str) -> ForwardRig:
        """Return a router that shares the log, and follows it."""
        rig = ForwardRig(clock=self.clock, crash_log=self.log)
        crashes = rig.forwarder.crashes
        crashes.node = name
        crashes.era.seen(1)
        rig.add(target("e0", "llm"), target("e1", "llm"))
        self.routers.append(rig)
        self.follow()
        return rig

    def follow(self) -> None:
        """Let all routers read what is new."""
        for rig in self.routers:
            Deferred.fromCoroutine(rig.forwarder.crashes.read_all())

    def crash(self, rig: ForwardRig, *born_ms: int) -> None:
        """Let a router see a target crash under a part, a few times."""
        for number in born_ms:
            view = TargetView(target=target("e9", "llm", born_ms=number))
            rig.forwarder.crashes.attempt_broken(
                view, signature_of(prompt_of("new", "bad", "own")), -1.0, LOST
            )
            rig.advance(0.6)
        self.follow()

    def answer(self, rig: ForwardRig) -> None:
        """Let a router get a complete answer with that part."""
        rig.forwarder.crashes.answered(
            signature_of(prompt_of("new", "bad", "own"))
        )
        rig.advance(0.1)
        self.follow()

    def drill(self, kept: int = 0) -> None:
        """Let the log lose all but its first records."""
        del self.log.records[kept:]
        self.log.era += 1
        for rig in self.routers:
            rig.forwarder.crashes.era.seen(self.log.era)

    def blocks(self, rig: ForwardRig) -> bool:
        """Whether a router refuses requests with the part."""
        return refuses(rig, "new", "bad")

    def test_router_that_starts_after_a_drill_knows_the_part(self) -> None:
        # Guards against crashes under a part that all others block.
        first = self.router("r1")
        self.crash(first, *range(CRASHES_TO_BLOCK))
        for _ in range(2):
            self.drill()
            self.clock.advance(0.2)
            self.assertTrue(self.blocks(self.router("r9")))

    def test_records_of_a_router_that_is_gone_are_written_again(self) -> None:
        first = self.router("r1")
        second = self.router("r2")
        self.crash(first, *range(CRASHES_TO_BLOCK))
        self.assertTrue(self.blocks(second))
        self.routers.remove(first)
        self.drill()
        self.clock.advance(0.2)
        self.assertEqual([], self.log.records)
        self.clock.advance(2.6)
        self.assertTrue(self.blocks(self.router("r9")))

    def test_nothing_is_written_again_that_the_copy_has(self) -> None:
        first = self.router("r1")
        self.router("r2")
        self.crash(first, *range(CRASHES_TO_BLOCK))
        self.routers.remove(first)
        self.drill(kept=len(self.log.records))
        before = len(self.log.records)
        self.clock.advance(5.0)
        self.assertEqual(before, len(self.log.records))

    def test_order_of_crashes_and_answers_is_kept(self) -> None:
        # Guards against an answer that clears later crashes as it is written
        # again after them, and the other way round.
        for answers_last, is_reversed in itertools.product(
            (False, True), repeat=2
        ):
            self.log = MemoryCrashLog(era=1)
            self.routers = []
            first, second = self.router("r1"), self.router("r2")
            self.crash(first, 100)
            if not answers_last:
                self.answer(second)
            self.crash(first, *range(CRASHES_TO_BLOCK))
            if answers_last:
                self.answer(second)
            expected = [self.blocks(rig) for rig in self.routers]
            self.assertEqual([not answers_last] * 2, expected)
            self.drill(kept=1)
            # The one that crashed writes first, or the other one.
            order = reversed(self.routers) if is_reversed else self.routers
            for rig in order:
                rig.forwarder.crashes.rewrites.write_lost(own_only=True)
            self.follow()
            self.assertEqual(expected, [self.blocks(r) for r in self.routers])
            self.assertEqual(expected[0], self.blocks(self.router("r9")))

    def test_answer_that_the_copy_has_clears_no_later_crash(self) -> None:
        # Guards against records counting as new that are read in a new era.
        first, second = self.router("r1"), self.router("r2")
        self.crash(first, 100)
        self.answer(second)
        kept = len(self.log.records)
        self.crash(first, *range(CRASHES_TO_BLOCK))
        self.drill(kept=kept)
        self.clock.advance(3.0)
        self.follow()
        for rig in (first, second, self.router("r9")):
            self.assertTrue(self.blocks(rig))

    def test_records_of_an_earlier_release_count(self) -> None:
        first = self.router("r1")
        for number in range(CRASHES_TO_BLOCK):
            body = {
                "at_ms": 1_000 * number,
                "target": "e9",
                "born_ms": number,
                "suspects": [["part", 1, False]],
            }
            value = json.dumps(body)
            record = KeyedRecord(key=f"crash/{number}", value=value.encode())
            self.log.records.append(
                attrs.evolve(record, stamp=(1, len(self.log.records)))
            )
        self.follow()
        self.assertTrue(first.forwarder.crashes.evidence.crashes)


class EraTest(TestCase):
    """How a router learns that the store has returned from a copy."""

    def test_only_a_rise_is_told(self) -> None:
        told: list[int] = []
        era = StoreEra(listeners=[told.append])
        for number in (0, 3, 3, 2, 4, 0, 4, 6):
            era.seen(number)
        self.assertEqual([4, 6], told)

    def test_each_answer_of_the_store_tells(self) -> None:
        for call, status in (
            ("append", 200),
            ("append", 503),
            ("read", 410),
            ("newest", 200),
        ):
            reactor = MemoryReactorClock()
            client = StoreClient(
                client=Http1Client(reactor=reactor),
                address=Address(host="10.0.0.9", port=80),
            )
            calls = {
                "append": lambda client=client: client.append("t", [b""], 1.0),
                "read": lambda client=client: client.read("t", 5, 1.0, 2.0),
                "newest": lambda client=client: client.newest("t", "", 1.0),
            }
            Deferred.fromCoroutine(calls[call]())
            reply = b"HTTP/1.1 %d x\r\nStore-Era: 3\r\n\r\n" % status
            peer = accept(reactor)
            peer.protocol.dataReceived(
                reply.replace(b"\r\n\r\n", b"\r\nContent-Length: 2\r\n\r\n{}")
            )
            self.assertEqual(3, client.era.number, (call, status))

    def test_relays_pass_it_on_and_wake_their_readers(self) -> None:
        # Routers that read from a relay make no calls to the store.
        feed = FeedRig()
        relay = feed.add("a1", "d1")
        feed.start_router(lambda: [relay.address])
        relay.era.seen(4)
        feed.advance(2.1)
        self.assertEqual(4, feed.replies[-1].store_era)
        relay.era.seen(5)
        feed.advance(0.05)
        self.assertEqual(5, feed.replies[-1].store_era)


class ManyRoutersTest(TestCase):
    """Three hundred routers record their streams again."""

    def test_calls_are_spread(self) -> None:
        # A store of a large fleet takes 400 writing calls a second; streams may
        # use three tenths of that.
        rigs = []
        log = MemoryOriginLog(era=1)
        for number in range(300):
            rig = make_rig()
            rig.forwarder.origins.port = log
            rig.forwarder.origins.software.random = random.Random(number)
            rig.forwarder.origins.log_era.seen(1)
            rig.add(target("e1", "llm", software="v1"))
            rig.add(target("e2", "llm", software="v2"))
            rig.fleet.set_routers(300, 0.0)
            rig.forwarder.origins.began(f"s{number}", V1)
            rigs.append(rig)

        def appends(seconds: float) -> list[int]:
            found = []
            for _ in range(round(seconds / 0.25)):
                before = log.appends
                for rig in rigs:
                    rig.clock.advance(0.25)
                found.append(log.appends - before)
            return found

        appends(3.0)
        self.assertEqual(300, len(log.records))
        log.records.clear()
        log.era = 2
        for rig in rigs:
            rig.forwarder.origins.log_era.seen(2)
        calls = appends(3.0)
        self.assertEqual(300, len(log.records))
        self.assertTrue(max(calls) <= 45, calls)
