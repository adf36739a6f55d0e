"""A target that falls silent for a while and goes on loses no answer."""

from collections.abc import Callable
from typing import Any

import attrs
from testtools import TestCase

from sequoiawind.forward_state import ForwardAccount, ForwardPool, ForwardRoute
from sequoiawind.tokens import token_digest
from sequoiawind.verdict import (
    Reason,
    Verdict,
    forwarded_status,
    may_have_run,
    not_run,
)
from tests.forward_rig import KINDS, FakeCaller, ForwardRig, state, target

BUSY = not_run(Reason.TARGET_BUSY, "busy")
LOST = may_have_run(Reason.CONNECTION_LOST, "lost")
OTHER_ACCOUNTS = {
    "b/0": ForwardAccount(name="b", token_digest=token_digest("key-of-b"))
}
UNREACHED = not_run(Reason.CONNECT_FAILED, "refused")
# Longer than the silence after which another target is asked.
SILENCE_S = 1.5
# Longer than a request waits for a target to be ready.
LONG_SILENCE_S = 2.5


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return b"id: %d\ndata: x\n\n" % number


def events(*numbers: int) -> bytes:
    """Return several events of a stream."""
    return b"".join(event(number) for number in numbers)


def rig_with(engines: int = 2, services: int = 2) -> ForwardRig:
    """Return a router with idle targets."""
    rig = ForwardRig()
    rig.add(*(target(f"e{number}", "llm") for number in range(engines)))
    rig.add(*(target(f"t{number}") for number in range(services)))
    return rig


def no_obstacle(rig: ForwardRig) -> None:
    """Let other targets be usable."""


def use_up_repeats(rig: ForwardRig) -> None:
    """Allow no repeats."""
    rig.forwarder.window.allowance = 0.0
    rig.forwarder.window.ratio = 0.0


def remove_others(rig: ForwardRig) -> None:
    """Leave no target but the one that has the request."""
    used = rig.port.sent[0].order.target.name
    for name in list(rig.fleet.views):
        if name != used:
            rig.fleet.remove(name, rig.clock.seconds() + 10.0)
    rig.fleet.pools.clear()


def stop_others(rig: ForwardRig) -> None:
    """Let all other targets want nothing for a while."""
    used = rig.port.sent[0].order.target.name
    now_s = rig.clock.seconds()
    for name, view in rig.fleet.views.items():
        if name != used:
            rig.fleet.record_notice(view, False, 60.0, now_s)


def limit_others(rig: ForwardRig) -> None:
    """Let all other targets state that they take nothing."""
    used = rig.port.sent[0].order.target.name
    now_s = rig.clock.seconds()
    for name, view in rig.fleet.views.items():
        if name != used:
            rig.fleet.record_limit(view, 0.0, now_s)


def remove_routes(rig: ForwardRig) -> None:
    """Apply a configuration without routes."""
    rig.configure(state(revision=2, routes={}))


def move_routes(rig: ForwardRig) -> None:
    """Apply a configuration with all routes to an empty pool."""
    routes = {
        name: ForwardRoute(
            name=name, host="h", path=f"/{name}/", kind=name, pool="empty"
        )
        for name in KINDS
    }
    pools = {"empty": ForwardPool(name="empty", models=("m",))}
    rig.configure(state(revision=2, routes=routes, pools=pools))


def allow_one_target(rig: ForwardRig) -> None:
    """Apply a configuration that lets a request go to one target alone."""
    kinds = {
        name: attrs.evolve(kind, max_targets=1) for name, kind in KINDS.items()
    }
    rig.configure(state(revision=2, kinds=kinds))


def shorten_time(rig: ForwardRig) -> None:
    """Apply a configuration with a time limit that has passed."""
    kinds = {
        name: attrs.evolve(kind, timeout_s=0.5) for name, kind in KINDS.items()
    }
    rig.configure(state(revision=2, kinds=kinds))


def revoke_keys(rig: ForwardRig) -> None:
    """Apply a configuration without the caller's key."""
    rig.configure(state(revision=2, accounts=OTHER_ACCOUNTS))


def forbid_repeats(rig: ForwardRig) -> None:
    """Apply a configuration under which nothing may be repeated."""
    kinds = {
        name: attrs.evolve(kind, repeat="never", is_resumable=False)
        for name, kind in KINDS.items()
    }
    rig.configure(state(revision=2, kinds=kinds))


# What keeps other targets from continuing a request.
OBSTACLES: list[Callable[[ForwardRig], None]] = [
    use_up_repeats,
    remove_others,
    stop_others,
    limit_others,
    remove_routes,
    move_routes,
    allow_one_target,
    shorten_time,
    revoke_keys,
    forbid_repeats,
]


# Of these, the ones under which no other target may get the request at all.
FORBIDDING: list[Callable[[ForwardRig], None]] = [
    use_up_repeats,
    remove_others,
    stop_others,
    revoke_keys,
    forbid_repeats,
]


class SilentStreamTest(TestCase):
    """A stream that pauses is kept until another target continues it."""

    def submit(self, rig: ForwardRig) -> FakeCaller:
        """Submit a stream, and deliver its first event."""
        caller = rig.submit("draft")
        rig.port.sent[0].begin(200, event(1))
        return caller

    def check_whole(self, caller: FakeCaller, why: str) -> None:
        """Check that a caller has the first four events and the end."""
        self.assertFalse(caller.is_broken, why)
        self.assertTrue(caller.is_ended, why)
        self.assertEqual(events(1, 2, 3, 4), caller.body, why)
        self.assertEqual([200], caller.statuses, why)

    def test_target_paused_for_a_slow_caller_is_not_silent(self) -> None:
        # Its events wait for the caller, so another target would be no faster.
        rig = ForwardRig()
        rig.add(*(target(f"e{n}", "llm") for n in range(2)))
        caller = rig.submit("draft")
        rig.port.sent[0].begin(200, b"id: 1\ndata: x\n\n")
        caller.is_choked = True
        rig.advance(2.0)
        self.assertEqual(1, len(rig.port.sent))
        caller.is_choked = False
        rig.advance(2.0)
        self.assertEqual(2, len(rig.port.sent))

    def test_goes_on_where_nothing_else_can_continue_it(self) -> None:
        for obstacle in OBSTACLES:
            rig = rig_with()
            caller = self.submit(rig)
            obstacle(rig)
            rig.advance(LONG_SILENCE_S)
            name = obstacle.__name__
            self.assertFalse(rig.port.sent[0].call.is_cancelled, name)
            rig.port.sent[0].sink.data(events(2, 3, 4))
            rig.port.sent[0].sink.done()
            self.check_whole(caller, name)

    def test_nothing_is_sent_elsewhere_against_a_bound_or_a_ban(self) -> None:
        for obstacle in FORBIDDING:
            rig = rig_with()
            self.submit(rig)
            obstacle(rig)
            rig.advance(LONG_SILENCE_S)
            self.assertEqual(1, len(rig.port.sent), obstacle.__name__)
            rig = rig_with()
            rig.submit("read")
            obstacle(rig)
            rig.advance(4.5)
            self.assertEqual(1, len(rig.port.sent), obstacle.__name__)

    def test_target_that_goes_on_gets_requests_again(self) -> None:
        rig = rig_with(engines=3)
        for _ in range(3):
            rig.submit("draft")
        used = rig.port.sent[0].order.target.name
        silent = [
            sent for sent in rig.port.sent if sent.order.target.name == used
        ]
        for sent in silent:
            sent.begin(200, event(1))
        health = rig.fleet.members.health_of(used)
        rig.fleet.record_failure(used, rig.clock.seconds(), is_certain=True)
        rig.advance(SILENCE_S)
        silent[0].sink.data(event(2))
        self.assertEqual(0.0, health.ejected_until_s)

    def test_refused_elsewhere_may_still_have_run(self) -> None:
        rig = rig_with()
        caller = rig.submit("read")
        rig.advance(2.2)
        rig.port.sent[0].answer(503, refusal=BUSY)
        rig.port.sent[1].answer(503, refusal=BUSY)
        assert caller.failure is not None
        self.assertEqual(502, forwarded_status(caller.failure))

    def test_goes_on_if_the_other_target_fails(self) -> None:
        def refuse(sent: Any) -> None:
            sent.answer(503, refusal=BUSY)

        def unreached(sent: Any) -> None:
            sent.sink.failed(UNREACHED)

        def break_off(sent: Any) -> None:
            sent.sink.failed(LOST)

        def break_off_after_head(sent: Any) -> None:
            sent.begin(200)
            sent.sink.failed(LOST)

        def error(sent: Any) -> None:
            sent.answer(500, b"bad")

        for fail in (refuse, unreached, break_off, break_off_after_head, error):
            rig = rig_with()
            caller = self.submit(rig)
            rig.advance(SILENCE_S)
            self.assertEqual(2, len(rig.port.sent))
            fail(rig.port.sent[1])
            rig.advance(0.3)
            self.assertFalse(rig.port.sent[0].call.is_cancelled)
            rig.port.sent[0].sink.data(events(2, 3, 4))
            rig.port.sent[0].sink.done()
            self.check_whole(caller, fail.__name__)

    def test_goes_on_before_the_other_target_has_begun(self) -> None:
        rig = rig_with()
        caller = self.submit(rig)
        rig.advance(SILENCE_S)
        rig.port.sent[0].sink.data(event(2))
        self.assertTrue(rig.port.sent[1].call.is_cancelled)
        rig.port.sent[1].begin(200, events(2, 3, 4))
        rig.port.sent[0].sink.data(events(3, 4))
        rig.port.sent[0].sink.done()
        self.check_whole(caller, "")

    def test_other_target_continues_it(self) -> None:
        rig = rig_with()
        caller = self.submit(rig)
        rig.advance(SILENCE_S)
        first, second = rig.port.sent
        self.assertEqual(1, second.order.after_event)
        second.begin(200)
        self.assertFalse(first.call.is_cancelled)
        second.sink.data(event(2))
        self.assertTrue(first.call.is_cancelled)
        first.sink.data(events(2, 3, 4))
        first.sink.done()
        second.sink.data(events(3, 4))
        second.sink.done()
        self.check_whole(caller, "")

    def test_first_target_breaks_off_meanwhile(self) -> None:
        rig = rig_with()
        caller = self.submit(rig)
        rig.advance(SILENCE_S)
        rig.port.sent[0].sink.failed(LOST)
        self.assertFalse(caller.is_broken)
        rig.port.sent[1].answer(200, events(2, 3, 4))
        self.check_whole(caller, "")

    def test_both_break_off(self) -> None:
        for first, second in ((0, 1), (1, 0)):
            rig = rig_with()
            caller = self.submit(rig)
            rig.advance(SILENCE_S)
            rig.port.sent[first].sink.failed(LOST)
            rig.port.sent[second].sink.failed(LOST)
            self.assertTrue(caller.is_broken)
            self.assertEqual(0, rig.forwarder.open_requests)
            for view in rig.fleet.views.values():
                self.assertEqual(0, view.open_requests)

    def test_falls_silent_twice(self) -> None:
        rig = rig_with(engines=3)
        caller = self.submit(rig)
        rig.advance(SILENCE_S)
        rig.port.sent[0].sink.data(event(2))
        rig.advance(SILENCE_S)
        # Two targets are allowed, and both have had the request.
        self.assertEqual(2, len(rig.port.sent))
        self.assertFalse(rig.port.sent[0].call.is_cancelled)
        rig.port.sent[0].sink.data(events(3, 4))
        rig.port.sent[0].sink.done()
        self.check_whole(caller, "")

    def test_another_target_is_asked_as_soon_as_one_is_ready(self) -> None:
        rig = rig_with(engines=1)
        caller = self.submit(rig)
        rig.advance(LONG_SILENCE_S)
        self.assertEqual(1, len(rig.port.sent))
        rig.add(target("late", "llm"))
        rig.advance(0.5)
        rig.port.sent[1].answer(200, events(2, 3, 4))
        self.check_whole(caller, "")

    def test_deadline_ends_both(self) -> None:
        rig = rig_with()
        caller = self.submit(rig)
        rig.advance(5.2)
        self.assertTrue(caller.is_broken)
        self.assertTrue(all(sent.call.is_cancelled for sent in rig.port.sent))
        self.assertEqual(2, len(rig.port.sent))

    def test_caller_that_leaves_ends_both(self) -> None:
        rig = rig_with()
        self.submit(rig)
        rig.advance(SILENCE_S)
        (forwarding,) = rig.forwarder.open
        forwarding.caller_disconnected()
        self.assertTrue(all(sent.call.is_cancelled for sent in rig.port.sent))
        for view in rig.fleet.views.values():
            self.assertEqual(0, view.open_requests)
            self.assertEqual(0, view.pending_prefills)

    def test_stream_that_may_not_be_repeated_is_kept(self) -> None:
        rig = rig_with()
        caller = rig.submit("brief")
        rig.port.sent[0].begin(200, event(1))
        rig.advance(4.0)
        rig.port.sent[0].sink.data(events(2, 3, 4))
        rig.port.sent[0].sink.done()
        self.check_whole(caller, "")

    def test_silent_target_is_not_taken_for_a_crashed_one(self) -> None:
        rig = rig_with()
        self.submit(rig)
        rig.advance(SILENCE_S)
        rig.port.sent[1].begin(200, event(2))
        rig.advance(1.0)
        self.assertEqual({}, rig.forwarder.crashes.broken)
        self.assertEqual({}, dict(rig.forwarder.crashes.evidence.crashes))


class SilentCallTest(TestCase):
    """A call that waits for its answer is kept as well."""

    # Longer than the silence after which another target is asked.
    silence_s = 2.2

    def test_answer_comes_where_nothing_else_can_take_the_call(self) -> None:
        for obstacle in OBSTACLES:
            rig = rig_with()
            caller = rig.submit("read")
            obstacle(rig)
            rig.advance(4.5)
            rig.port.sent[0].answer(200, b"first")
            self.assertEqual([200], caller.statuses, obstacle.__name__)
            self.assertEqual(b"first", caller.body)

    def test_answer_comes_after_the_other_target_has_failed(self) -> None:
        for refusal in (BUSY, None):
            rig = rig_with()
            caller = rig.submit("read")
            rig.advance(self.silence_s)
            rig.port.sent[1].answer(503 if refusal else 500, refusal=refusal)
            rig.port.sent[0].answer(200, b"first")
            self.assertEqual([200], caller.statuses)
            self.assertEqual(b"first", caller.body)

    def test_first_answer_counts(self) -> None:
        for winner in (0, 1):
            rig = rig_with()
            caller = rig.submit("read")
            rig.advance(self.silence_s)
            rig.port.sent[winner].answer(200, b"%d" % winner)
            self.assertTrue(rig.port.sent[1 - winner].call.is_cancelled)
            rig.port.sent[1 - winner].answer(200, b"late")
            self.assertEqual(b"%d" % winner, caller.body)
            for view in rig.fleet.views.values():
                self.assertEqual(0, view.open_requests)

    def test_refused_by_all_after_silence_may_have_run(self) -> None:
        rig = rig_with()
        caller = rig.submit("read")
        rig.advance(self.silence_s)
        rig.port.sent[1].answer(503, refusal=BUSY)
        rig.port.sent[0].sink.failed(LOST)
        assert caller.failure is not None
        self.assertEqual(Verdict.MAY_HAVE_RUN, caller.failure.verdict)
