"""A part of prompts under which targets crash is found and kept from them."""

import itertools
from typing import Any

import attrs
from testtools import TestCase
from twisted.internet.task import Clock

from sequoiawind.crash_evidence import (
    CRASH_LIFETIME_S,
    NEW_PART,
    PROVEN_PART,
)
from sequoiawind.crash_registry import RECORD_LIFETIME_MS
from sequoiawind.fleet import TargetView
from sequoiawind.lab.memory_crash_log import MemoryCrashLog
from sequoiawind.prompt_cache import Prompt, PromptPart
from sequoiawind.record_ports import KeyedRecord
from sequoiawind.request_signature import (
    RequestSignature,
    part_names,
    whole_name,
)
from sequoiawind.verdict import Reason, Verdict, may_have_run
from tests.forward_rig import FakeCaller, ForwardRig, Sent, target

LOST = may_have_run(Reason.CONNECTION_LOST, "lost")
# Time after the fifth crash from which at most three requests may be sent with
# the part, and the crashes, by the users' rules.
CONTACT_S = 3.0
FREE_CRASHES = 5
MAX_LATER_SENDS = 3
BAD = "bad"
CRASHES_TO_BLOCK = NEW_PART.crashes
BLOCK_S = NEW_PART.block_s
NUMBERS = itertools.count()


def prompt_of(*names: str) -> Prompt:
    """Return a prompt with the given parts."""
    return Prompt(
        model="m",
        tokens=100 * len(names),
        max_tokens=10,
        parts=tuple(PromptPart(id=name, tokens=100) for name in names),
    )


def signature_of(prompt: Prompt) -> RequestSignature:
    """Return the signature of a request that equals no other one."""
    whole = whole_name(b"%d" % next(NUMBERS))
    return RequestSignature(whole=whole, parts=part_names(prompt))


@attrs.define(kw_only=True, eq=False)
class CrashingFleet:
    """A router before engines that crash under a prompt part."""

    rig: ForwardRig = attrs.field(factory=ForwardRig)
    # Requests with the part that reached an engine, by time.
    bad_sends_s: list[float] = attrs.field(factory=list)
    # When the engines crashed.
    crashes_s: list[float] = attrs.field(factory=list)
    # Sends that have no answer yet, and how many were handled.
    open: list[Sent] = attrs.field(factory=list)
    handled: int = 0
    born_ms: int = 1

    def __attrs_post_init__(self) -> None:
        """Start the engines."""
        for number in range(6):
            self.rig.add(target(f"e{number}", "llm", born_ms=self.born_ms))

    def request(self, *names: str, route: str = "draft") -> FakeCaller:
        """Submit a request with the given parts and a part of its own."""
        own = f"own{self.rig.request_count}"
        return self.rig.submit(route, prompt=prompt_of(*names, own))

    def step(self) -> None:
        """Let the engines begin what has arrived; some of them crash."""
        new = self.rig.port.sent[self.handled :]
        self.handled += len(new)
        self.open += new
        now_s = self.rig.clock.seconds()
        for sent in new:
            if self.is_bad(sent):
                self.bad_sends_s.append(now_s)
        for sent in [item for item in new if self.is_bad(item)]:
            if sent in self.open:
                self.crash(sent.order.target.name)
        for sent in [item for item in self.open if item not in new]:
            self.open.remove(sent)
            sent.answer(200, b"id: 1\ndata: x\n\n")
        self.rig.advance(0.1)

    def is_bad(self, sent: Sent) -> bool:
        """Whether a request has the part."""
        prompt = sent.order.request.prompt
        return prompt is not None and BAD in [part.id for part in prompt.parts]

    def crash(self, name: str) -> None:
        """End an engine with all its answers; it starts again at once."""
        self.crashes_s.append(self.rig.clock.seconds())
        broken = [item for item in self.open if item.order.target.name == name]
        self.open = [item for item in self.open if item not in broken]
        self.born_ms += 1
        self.rig.add(target(name, "llm", born_ms=self.born_ms))
        for sent in broken:
            sent.begin(200)
            sent.sink.failed(LOST)

    @property
    def later_sends(self) -> int:
        """Sends with the part later than allowed after the fifth crash."""
        if len(self.crashes_s) < FREE_CRASHES:
            return 0
        since_s = self.crashes_s[FREE_CRASHES - 1] + CONTACT_S
        return sum(sent_s > since_s for sent_s in self.bad_sends_s)


class OneRouterTest(TestCase):
    """What a router sees itself."""

    def play(self, rounds: int = 80, **fields: Any) -> CrashingFleet:
        """Send sound and other requests by turns."""
        fleet = CrashingFleet(**fields)
        for number in range(rounds):
            fleet.request("root", "sound")
            if number >= 10 and number % 4 == 0:
                fleet.request("root", BAD)
            fleet.step()
        return fleet

    def test_requests_with_the_part_stop_reaching_targets(self) -> None:
        fleet = self.play()
        self.assertTrue(fleet.crashes_s)
        self.assertTrue(fleet.later_sends <= MAX_LATER_SENDS, fleet.later_sends)

    def test_sound_requests_with_the_other_parts_go_on(self) -> None:
        fleet = self.play()
        callers = [fleet.request("root", "sound") for _ in range(20)]
        for _ in range(3):
            fleet.step()
        self.assertTrue(all(caller.is_ended for caller in callers))

    def test_refusal_says_that_nothing_ran_and_when_to_return(self) -> None:
        fleet = self.play()
        caller = fleet.request("root", BAD)
        assert caller.failure is not None
        self.assertEqual(Verdict.NOT_RUN, caller.failure.verdict)
        self.assertTrue(caller.failure.retry_after_s)


def refuses(rig: ForwardRig, *names: str) -> bool:
    """Whether a router refuses a prompt with the given parts."""
    prompt = prompt_of(*names, "own")
    return rig.forwarder.crashes.refusal(signature_of(prompt)) is not None


def follow(rig: ForwardRig, log: MemoryCrashLog) -> None:
    """Let a router read all records of the others."""
    rig.forwarder.crashes.replaced(log.records)


class AnswerTest(TestCase):
    """Which answers clear the parts of a prompt."""

    def test_answer_that_the_target_has_not_written_clears_nothing(
        self,
    ) -> None:
        cases = (
            (200, b"id: 1\ndata: x\n\n", True),
            (200, b"", False),
            (400, b"bad", False),
            (500, b"failed", False),
        )
        for status, body, expected in cases:
            rig = ForwardRig()
            rig.add(target("e1", "llm"))
            rig.submit("draft", prompt=prompt_of("root", "own"))
            rig.port.sent[0].answer(status, body)
            proven = rig.forwarder.crashes.is_proven(
                part_names(prompt_of("root", "own"))[0]
            )
            self.assertEqual(expected, proven, (status, body))


class ManyRoutersTest(TestCase):
    """What routers learn from each other."""

    def setUp(self) -> None:
        super().setUp()
        self.log = MemoryCrashLog()
        self.clock = Clock()

    def router(self, name: str = "r1") -> ForwardRig:
        """Return a router that shares the log with the others."""
        rig = ForwardRig(clock=self.clock, crash_log=self.log)
        rig.forwarder.crashes.node = name
        for number in range(4):
            rig.add(target(f"e{number}", "llm"))
        return rig

    def crash(
        self, rig: ForwardRig, name: str, born_ms: int, *names: str
    ) -> None:
        """Let a router see an engine crash under a prompt."""
        view = TargetView(target=target(name, "llm", born_ms=born_ms))
        rig.forwarder.crashes.attempt_broken(
            view, signature_of(prompt_of(*names, "own")), -1.0, LOST
        )
        rig.advance(0.5)

    def block(self, **fields: Any) -> ForwardRig:
        """Return a router that knows a part to crash engines."""
        rig = self.router(**fields)
        rig.forwarder.crashes.answered(signature_of(prompt_of("root", "own")))
        for born_ms in range(CRASHES_TO_BLOCK):
            self.crash(rig, "e0", born_ms, "root", BAD)
        return rig

    def test_routers_that_each_saw_one_crash_learn_from_each_other(
        self,
    ) -> None:
        routers = [self.router(f"r{number}") for number in range(3)]
        for born_ms, rig in enumerate(routers):
            self.crash(rig, "e0", born_ms, "root", BAD)
        for rig in routers:
            self.assertFalse(refuses(rig, "root", BAD))
            follow(rig, self.log)
            self.assertTrue(refuses(rig, "root", BAD))

    def test_router_that_just_started_knows_the_part(self) -> None:
        self.block()
        rig = self.router("r9")
        follow(rig, self.log)
        self.assertTrue(refuses(rig, "root", BAD))
        self.assertFalse(refuses(rig, "root", "sound"))

    def test_records_that_arrive_twice_or_late_change_nothing(self) -> None:
        rig = self.block()
        for _ in range(3):
            follow(rig, self.log)
        self.assertEqual(
            CRASHES_TO_BLOCK, len(rig.forwarder.crashes.evidence.crashes)
        )

    def test_router_goes_by_what_it_saw_while_the_store_is_away(self) -> None:
        self.log.is_available = False
        rig = self.block()
        self.assertTrue(refuses(rig, "root", BAD))
        self.assertEqual([], self.log.records)
        # What it saw is recorded when the store is back.
        self.log.is_available = True
        rig.advance(1.0)
        other = self.router("r2")
        follow(other, self.log)
        self.assertTrue(refuses(other, "root", BAD))

    def test_one_crash_seen_by_many_routers_counts_once(self) -> None:
        routers = [self.router(f"r{number}") for number in range(5)]
        for rig in routers:
            self.crash(rig, "e0", 1, "root", BAD)
        follow(routers[0], self.log)
        self.assertFalse(refuses(routers[0], "root", BAD))

    def test_other_crashes_do_not_block_what_sound_prompts_share(self) -> None:
        rig = self.block()
        for born_ms in range(100, 105):
            self.crash(rig, "e1", born_ms, "root", f"other{born_ms}")
        self.assertTrue(refuses(rig, "root", BAD))
        self.assertFalse(refuses(rig, "root", "sound"))

    def test_targets_that_crash_at_once_block_no_part(self) -> None:
        for parts in (("root", "sound"), ("root", "new"), ("newer", "new")):
            rig = self.router()
            rig.forwarder.crashes.answered(
                signature_of(prompt_of("root", "sound", "own"))
            )
            for number in range(4):
                rig.forwarder.crashes.attempt_broken(
                    rig.fleet.views[f"e{number}"],
                    signature_of(prompt_of(*parts, "own")),
                    -1.0,
                    LOST,
                )
            rig.advance(0.5)
            self.assertFalse(refuses(rig, *parts), parts)

    def test_part_that_answered_before_is_blocked_after_long(self) -> None:
        rig = self.router()
        rig.forwarder.crashes.answered(signature_of(prompt_of("root", "own")))
        for born_ms in range(PROVEN_PART.groups):
            self.assertFalse(refuses(rig, "root"))
            self.crash(rig, "e0", born_ms, "root")
            rig.advance(PROVEN_PART.apart_s)
        self.assertTrue(refuses(rig, "root"))

    def test_part_of_another_model_is_another_part(self) -> None:
        rig = self.block()
        other = attrs.evolve(prompt_of("root", BAD, "own"), model="m2")
        self.assertIsNone(rig.forwarder.crashes.refusal(signature_of(other)))

    def test_last_part_is_never_blocked(self) -> None:
        rig = self.router()
        for born_ms in range(5):
            self.crash(rig, "e0", born_ms)
        self.assertEqual({}, rig.forwarder.crashes.evidence.blocks)

    def test_engine_that_goes_on_answering_has_not_crashed(self) -> None:
        rig = self.router()
        for number in range(5):
            view = rig.fleet.views["e0"]
            view.target = attrs.evolve(view.target, born_ms=number)
            rig.forwarder.crashes.attempt_broken(
                view, signature_of(prompt_of("root", BAD, "own")), -1.0, LOST
            )
            rig.clock.advance(0.1)
            view.heard_s = rig.clock.seconds()
            rig.advance(0.5)
        self.assertFalse(refuses(rig, "root", BAD))

    def test_complete_answer_at_any_router_clears_the_part(self) -> None:
        rig, other = self.block(), self.router("r2")
        follow(other, self.log)
        other.forwarder.crashes.answered(
            signature_of(prompt_of("root", BAD, "own"))
        )
        self.assertFalse(refuses(other, "root", BAD))
        follow(rig, self.log)
        self.assertFalse(refuses(rig, "root", BAD))

    def test_answer_read_again_clears_no_later_crash(self) -> None:
        rig = self.router()
        self.crash(rig, "e0", 100, "root", BAD)
        rig.forwarder.crashes.answered(
            signature_of(prompt_of("root", BAD, "own"))
        )
        other = self.router("r2")
        follow(other, self.log)
        for born_ms in range(CRASHES_TO_BLOCK):
            self.crash(rig, "e0", born_ms, "new", BAD)
        follow(other, self.log)
        follow(other, self.log)
        self.assertTrue(
            other.forwarder.crashes.evidence.is_suspected(
                part_names(prompt_of(BAD, "own"))[0]
            )
        )

    def test_doubt_is_tested_by_one_request_of_all_routers(self) -> None:
        routers = [self.block()]
        for number in range(2, 5):
            routers.append(self.router(f"r{number}"))
            follow(routers[-1], self.log)
        self.clock.advance(BLOCK_S)
        sends = 0
        for _ in range(3):
            for rig in routers:
                if not refuses(rig, "root", BAD):
                    rig.forwarder.crashes.sent(
                        signature_of(prompt_of("root", BAD, "own"))
                    )
                    sends += 1
                follow(rig, self.log)
                self.clock.advance(0.1)
        self.assertEqual(1, sends)
        # The next test comes after a longer time.
        self.clock.advance(BLOCK_S)
        self.assertTrue(all(refuses(rig, "root", BAD) for rig in routers))
        self.clock.advance(0.1)
        self.assertTrue(all(refuses(rig, "root", BAD) for rig in routers))

    def test_permission_for_one_part_lets_no_other_through(self) -> None:
        rig = self.block()
        for born_ms in range(100, 100 + CRASHES_TO_BLOCK):
            self.crash(rig, "e1", born_ms, "root", "worse")
        self.clock.advance(BLOCK_S - 1.0)
        self.assertTrue(refuses(rig, "root", BAD))
        self.assertFalse(refuses(rig, "root", BAD))
        self.assertTrue(refuses(rig, "root", BAD, "worse"))

    def test_request_of_any_pool_uses_up_the_permission(self) -> None:
        rig = self.block()
        rig.add(target("p1", "app"))
        self.clock.advance(BLOCK_S)
        rig.freshness.confirmed(self.clock.seconds())
        prompt = prompt_of("root", BAD, "own")
        callers = [rig.submit("read", prompt=prompt) for _ in range(3)]
        self.assertEqual(1, len(rig.port.sent))
        refused = [caller.failure is not None for caller in callers]
        self.assertEqual([True, False, True], refused)

    def test_permission_to_test_ends_while_the_process_is_suspended(
        self,
    ) -> None:
        rig = self.block()
        suspended_s = 0.0
        rig.forwarder.crashes.age_clock = lambda: (
            self.clock.seconds() + suspended_s
        )
        self.clock.advance(BLOCK_S)
        self.assertTrue(refuses(rig, "root", BAD))
        self.assertFalse(refuses(rig, "root", BAD))
        suspended_s = 10.0
        self.assertTrue(refuses(rig, "root", BAD))

    def test_no_test_while_the_store_is_away(self) -> None:
        rig = self.block()
        self.log.is_available = False
        self.clock.advance(BLOCK_S)
        for _ in range(5):
            self.assertTrue(refuses(rig, "root", BAD))
            self.clock.advance(1.0)

    def test_crashes_are_forgotten(self) -> None:
        rig = self.block()
        self.clock.advance(CRASH_LIFETIME_S + 1.0)
        self.assertFalse(refuses(rig, "root", BAD))

    def test_old_records_are_deleted(self) -> None:
        self.block()
        self.clock.advance(RECORD_LIFETIME_MS / 1000 + 1.0)
        follow(self.router("r2"), self.log)
        newest = {record.key: record.value for record in self.log.records}
        self.assertEqual({None}, set(newest.values()))

    def test_unreadable_records_change_nothing(self) -> None:
        rig = self.router()
        for key in ("crash/x", "answer/x", "test/x", "other", ""):
            for value in (b"", b"{}", b"[1]", b"\xff", None):
                rig.forwarder.crashes.changed(KeyedRecord(key=key, value=value))
        self.assertFalse(refuses(rig, "root", BAD))
