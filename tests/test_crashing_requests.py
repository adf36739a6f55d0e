"""A request under which targets crash is known again and kept from them."""

from typing import Any

import attrs
from testtools import TestCase
from twisted.internet.task import Clock

from sequoiawind.crash_evidence import (
    CRASH_LIFETIME_S,
    CRASHES_TO_DOUBT,
    MAX_SUSPECTS,
    NEW_REQUEST,
    PROVEN_PART,
)
from sequoiawind.crash_registry import CrashRegistry
from sequoiawind.fleet import TargetView
from sequoiawind.forward_state import ForwardAccount
from sequoiawind.lab.memory_crash_log import MemoryCrashLog
from sequoiawind.request_signature import RequestSignature, whole_name
from sequoiawind.verdict import Reason, Verdict
from tests.crashing_fleet import FATAL, LOST, CrashingFleet
from tests.forward_rig import KINDS, ForwardRig, target

BAD = RequestSignature(whole=whole_name(b"bad"))
SOUND = RequestSignature(whole=whole_name(b"sound"))
# Requests whose prompts share their parts.
BAD_PROMPT = RequestSignature(whole=whole_name(b"bad"), parts=("p1", "p2"))
SOUND_PROMPT = RequestSignature(whole=whole_name(b"new"), parts=("p1", "p2"))
# Crashes, the time after the last of them, and the sends that are allowed from
# then on, by the users' rules.
FREE_CRASHES = 3
CONTACT_S = 3.0
MAX_LATER_SENDS = 3
# Steps between two fatal requests, and steps in all.
FATAL_EVERY = 7
STEPS = 300


def is_served(caller_body: bytes) -> bool:
    """Whether a caller has the answer of a sound request."""
    return caller_body in (b"done", b"id: 1\ndata: x\n\n")


def many_requests(number: int) -> list[RequestSignature]:
    """Return as many requests as a target may run and queue."""
    return [
        RequestSignature(whole=whole_name(b"%d/%d" % (number, item)))
        for item in range(255)
    ]


class CrashingRequestTest(TestCase):
    """What one router sees itself."""

    def test_request_stops_reaching_targets(self) -> None:
        for route in KINDS:
            fleet = CrashingFleet()
            for step in range(STEPS):
                if step % FATAL_EVERY == 0:
                    fleet.submit(route, FATAL)
                fleet.step()
            later = fleet.later_sends(FREE_CRASHES, CONTACT_S)
            self.assertTrue(later <= MAX_LATER_SENDS, (route, later))
            self.assertTrue(len(fleet.crashes_s) <= FREE_CRASHES + 2, route)

    def test_requests_that_differ_in_one_thing_go_on(self) -> None:
        for route in KINDS:
            fleet = CrashingFleet()
            served = 0
            for step in range(STEPS):
                if step % FATAL_EVERY == 0:
                    fleet.submit(route, FATAL, path="x", own="fatal")
                body = b"%d" % step
                callers = [
                    # Another body under the same path, and the same parts.
                    fleet.submit(route, body, path="x", own="fatal"),
                    # Another path with an earlier body.
                    fleet.submit(route, b"same", path="y"),
                ]
                fleet.step()
                fleet.step()
                if step > STEPS - 50:
                    served += sum(is_served(item.body) for item in callers)
            self.assertTrue(served > 95, (route, served))

    def test_refusal_is_true_and_says_when_to_return(self) -> None:
        fleet = CrashingFleet()
        for _ in range(40):
            caller = fleet.submit("read", FATAL)
            fleet.step()
        assert caller.failure is not None
        self.assertEqual(Verdict.NOT_RUN, caller.failure.verdict)
        self.assertEqual("blocked_request", caller.failure.reason.value)
        self.assertTrue(caller.failure.retry_after_s)

    def test_request_that_comes_seldom_is_known_again(self) -> None:
        fleet = CrashingFleet()
        for step in range(1200):
            if step % 250 == 0:
                fleet.submit("book", FATAL)
            fleet.step()
        # At 0, 25 and 50 s; blocked from then on.
        self.assertEqual(3, len(fleet.crashes_s))


class ManyRoutersTest(TestCase):
    """What routers learn from each other about whole requests."""

    def setUp(self) -> None:
        super().setUp()
        self.log = MemoryCrashLog()
        self.clock = Clock()
        self.born_ms = 0

    def router(self, name: str) -> CrashRegistry:
        """Return a router's part in the registry."""
        rig = ForwardRig(clock=self.clock, crash_log=self.log)
        rig.forwarder.crashes.node = name
        return rig.forwarder.crashes

    def crash(
        self,
        registry: CrashRegistry,
        *signatures: RequestSignature,
        time_s: float = 0.5,
    ) -> None:
        """Let a router see a target crash under requests."""
        self.born_ms += 1
        view = TargetView(target=target("t", born_ms=self.born_ms))
        for signature in signatures:
            registry.attempt_broken(view, signature, -1.0, LOST)
        self.clock.advance(time_s)

    def blocked(self) -> CrashRegistry:
        """Return a router that knows a request to crash targets."""
        registry = self.router("r1")
        for _ in range(FREE_CRASHES):
            self.crash(registry, BAD)
        return registry

    def follow(self, registry: CrashRegistry) -> None:
        """Let a router read all records of the others."""
        registry.replaced(self.log.records)

    def test_routers_that_each_saw_one_crash_learn_from_each_other(
        self,
    ) -> None:
        registries = [self.router(f"r{number}") for number in range(3)]
        for registry in registries:
            self.crash(registry, BAD)
        for registry in [*registries, self.router("just started")]:
            self.assertIsNone(registry.refusal(BAD))
            self.follow(registry)
            self.assertIsNotNone(registry.refusal(BAD))
            self.assertIsNone(registry.refusal(SOUND))

    def test_router_goes_by_what_it_saw_while_the_store_is_away(self) -> None:
        self.log.is_available = False
        registry = self.blocked()
        self.assertIsNotNone(registry.refusal(BAD))
        self.log.is_available = True
        self.clock.advance(1.0)
        other = self.router("r2")
        self.follow(other)
        self.assertIsNotNone(other.refusal(BAD))

    def test_it_is_not_repeated_after_the_second_crash(self) -> None:
        registry = self.router("r1")
        self.assertTrue(registry.may_repeat(BAD))
        for _ in range(CRASHES_TO_DOUBT):
            self.crash(registry, BAD)
        self.assertFalse(registry.may_repeat(BAD))
        self.assertTrue(registry.may_repeat(SOUND))

    def test_targets_that_end_in_one_moment_block_no_request(self) -> None:
        registry = self.router("r1")
        for _ in range(5):
            self.crash(registry, BAD, time_s=0.0)
        self.clock.advance(0.5)
        self.assertEqual(5, len(registry.evidence.crashes))
        self.assertIsNone(registry.refusal(BAD))

    def test_sound_requests_beside_it_are_not_blocked(self) -> None:
        registry = self.router("r1")
        for _ in range(FREE_CRASHES + 2):
            self.crash(registry, BAD, SOUND)
            registry.answered(SOUND)
        self.assertIsNotNone(registry.refusal(BAD))
        self.assertIsNone(registry.refusal(SOUND))

    def test_request_that_answered_before_is_blocked_after_long(self) -> None:
        registry = self.router("r1")
        registry.answered(BAD)
        for _ in range(PROVEN_PART.groups):
            self.assertIsNone(registry.refusal(BAD))
            self.crash(registry, BAD, time_s=PROVEN_PART.apart_s)
        self.assertIsNotNone(registry.refusal(BAD))

    def test_request_is_blocked_rather_than_the_parts_it_shares(self) -> None:
        registry = self.router("r1")
        for _ in range(FREE_CRASHES):
            self.crash(registry, BAD_PROMPT)
        failure = registry.refusal(BAD_PROMPT)
        assert failure is not None
        self.assertEqual(Reason.BLOCKED_REQUEST, failure.reason)
        self.assertIsNone(registry.refusal(SOUND_PROMPT))

    def test_part_is_blocked_if_several_requests_with_it_crash(self) -> None:
        registry = self.router("r1")
        for number in range(3):
            again = attrs.evolve(BAD_PROMPT, whole=whole_name(b"%d" % number))
            for _ in range(2):
                self.crash(registry, again)
        failure = registry.refusal(SOUND_PROMPT)
        assert failure is not None
        self.assertEqual(Reason.BLOCKED_PART, failure.reason)

    def test_answer_at_any_router_lets_it_go(self) -> None:
        registry, other = self.blocked(), self.router("r2")
        self.follow(other)
        other.answered(BAD)
        self.follow(registry)
        self.assertIsNone(registry.refusal(BAD))

    def test_it_is_tested_by_one_request_of_all_routers(self) -> None:
        registries = [self.blocked()]
        for number in range(2, 5):
            registries.append(self.router(f"r{number}"))
            self.follow(registries[-1])
        sends = 0
        self.clock.advance(NEW_REQUEST.block_s)
        for _ in range(3):
            for registry in registries:
                if registry.refusal(BAD) is None:
                    registry.sent(BAD)
                    sends += 1
                self.follow(registry)
                self.clock.advance(0.1)
        self.assertEqual(1, sends)

    def test_it_is_forgotten(self) -> None:
        registry = self.blocked()
        self.clock.advance(CRASH_LIFETIME_S + 1.0)
        self.assertIsNone(registry.refusal(BAD))
        self.assertEqual(0, registry.evidence.suspect_count)

    def test_what_is_kept_is_bounded(self) -> None:
        registry = self.router("r1")
        for number in range(60):
            self.crash(registry, *many_requests(number))
        evidence = registry.evidence
        self.assertTrue(evidence.suspect_count <= MAX_SUSPECTS)
        kept = sum(len(item.suspects) for item in evidence.crashes.values())
        self.assertEqual(kept, evidence.suspect_count)
        # A request that crashes targets among so many others is still found.
        for number in range(FREE_CRASHES):
            self.crash(registry, *many_requests(1000 + number), BAD)
        self.assertIsNotNone(registry.refusal(BAD))


class SignatureTest(TestCase):
    """What makes requests the same."""

    def signature(self, **fields: Any) -> RequestSignature:
        """Return the signature of a request with the given fields."""
        rig = ForwardRig()
        request = rig.request("read", **{"body": b"body", **fields})
        return RequestSignature.of(rig.forwarder.planner.plan(request).ok)

    def test_what_a_request_is_known_by(self) -> None:
        base = self.signature()
        same: list[dict[str, Any]] = [
            {"request_id": "another"},
            {"headers": [(b"x", b"y")]},
            {"deadline_s": 1.0},
            {"arrived_s": 3.0},
        ]
        for fields in same:
            self.assertEqual(base, self.signature(**fields), fields)
        different: list[dict[str, Any]] = [
            {"body": b"other"},
            {"request_target": b"/read/x?q=1"},
            {"method": b"GET"},
            # The same bytes, divided in another way.
            {"request_target": b"/read/xb", "body": b"ody"},
        ]
        for fields in different:
            self.assertNotEqual(base, self.signature(**fields), fields)

    def test_caller_is_part_of_it(self) -> None:
        rig = ForwardRig()
        plan = rig.forwarder.planner.plan(rig.request("read")).ok
        other = attrs.evolve(plan, account=ForwardAccount(name="b"))
        self.assertNotEqual(
            RequestSignature.of(plan).whole, RequestSignature.of(other).whole
        )

    def test_it_is_short_and_tells_nothing_of_the_request(self) -> None:
        signature = self.signature(body=b"secret" * 10_000)
        self.assertTrue(len(signature.whole) < 50)
        self.assertNotIn("secret", signature.whole)
