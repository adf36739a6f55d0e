"""A newer configuration does not end requests that were accepted before it."""

import attrs
from expression import Error, Ok
from testtools import TestCase

from sequoiawind.forward_state import ForwardAccount, ForwardPool, ForwardRoute
from sequoiawind.stream_move import move_away
from sequoiawind.tokens import token_digest
from sequoiawind.verdict import Reason, Verdict, may_have_run, not_run
from tests.forward_rig import KINDS, FakeCaller, ForwardRig, state, target

BUSY = not_run(Reason.TARGET_BUSY, "busy")
LOST = may_have_run(Reason.CONNECTION_LOST, "lost")
OTHER_ACCOUNTS = {
    "b/0": ForwardAccount(name="b", token_digest=token_digest("key-of-b"))
}


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return b"id: %d\ndata: x\n\n" % number


def rig() -> ForwardRig:
    """Return a router with two idle targets in each pool."""
    found = ForwardRig()
    found.add(target("e1", "llm"), target("e2", "llm"))
    found.add(target("t1"), target("t2"))
    return found


def remove_routes(found: ForwardRig) -> None:
    """Apply a configuration without routes."""
    found.configure(state(revision=2, routes={}))


def remove_pools(found: ForwardRig) -> None:
    """Apply a configuration without pools."""
    found.configure(state(revision=2, pools={}))


def move_routes(found: ForwardRig) -> None:
    """Apply a configuration with all routes to another, empty pool."""
    routes = {
        name: ForwardRoute(
            name=name, host="h", path=f"/{name}/", kind=name, pool="empty"
        )
        for name in KINDS
    }
    pools = {"empty": ForwardPool(name="empty", models=("m",))}
    found.configure(state(revision=2, routes=routes, pools=pools))


def allow_one_target(found: ForwardRig) -> None:
    """Apply a configuration that lets a request go to one target alone."""
    kinds = {
        name: attrs.evolve(kind, max_targets=1) for name, kind in KINDS.items()
    }
    found.configure(state(revision=2, kinds=kinds))


def change_time(found: ForwardRig, timeout_s: float) -> None:
    """Apply a configuration with another time limit."""
    kinds = {
        name: attrs.evolve(kind, timeout_s=timeout_s)
        for name, kind in KINDS.items()
    }
    found.configure(state(revision=2, kinds=kinds))


def shorten_time(found: ForwardRig) -> None:
    """Apply a configuration with a time limit that has passed."""
    change_time(found, 0.5)


CHANGES = [
    remove_routes,
    remove_pools,
    move_routes,
    allow_one_target,
    shorten_time,
]


class AcceptedRequestTest(TestCase):
    """A request that was sent to a target goes on as it was accepted."""

    def test_broken_stream_is_resumed_where_it_began(self) -> None:
        for change in CHANGES:
            router = rig()
            caller = router.submit("draft")
            router.port.sent[0].begin(200, event(1))
            router.advance(1.0)
            change(router)
            router.port.sent[0].sink.failed(LOST)
            name = change.__name__
            self.assertEqual(2, len(router.port.sent), name)
            second = router.port.sent[1].order
            self.assertEqual("llm", second.target.pool, name)
            self.assertTrue(3.9 < second.deadline_s < 4.1, name)
            router.port.sent[1].answer(200, event(2))
            self.assertEqual(event(1) + event(2), caller.body, name)
            self.assertTrue(caller.is_ended, name)

    def test_broken_call_is_repeated(self) -> None:
        for change in CHANGES:
            if change is move_routes:
                continue
            router = rig()
            caller = router.submit("read")
            router.advance(1.0)
            change(router)
            router.port.sent[0].sink.failed(LOST)
            router.port.sent[1].answer(200, b"whole")
            self.assertEqual(b"whole", caller.body, change.__name__)

    def test_broken_call_follows_its_route(self) -> None:
        router = rig()
        router.add(target("n1", "empty"))
        caller = router.submit("read")
        move_routes(router)
        router.port.sent[0].sink.failed(LOST)
        self.assertEqual("n1", router.port.sent[1].order.target.name)
        router.port.sent[1].answer(200, b"whole")
        self.assertEqual(b"whole", caller.body)

    def test_revoked_key_begins_no_further_run(self) -> None:
        for route in ("draft", "read"):
            router = rig()
            caller = router.submit(route)
            router.configure(state(revision=2, accounts=OTHER_ACCOUNTS))
            router.port.sent[0].sink.failed(LOST)
            self.assertEqual(1, len(router.port.sent))
            assert caller.failure is not None
            self.assertEqual(Verdict.MAY_HAVE_RUN, caller.failure.verdict)

    def test_what_must_no_longer_repeat_is_not_repeated(self) -> None:
        router = rig()
        caller = router.submit("read")
        kinds = {**KINDS, "read": attrs.evolve(KINDS["read"], repeat="never")}
        router.configure(state(revision=2, kinds=kinds))
        router.port.sent[0].sink.failed(LOST)
        self.assertEqual(1, len(router.port.sent))
        self.assertIsNotNone(caller.failure)

    def test_waiting_request_ends_with_the_shorter_time(self) -> None:
        router = ForwardRig()
        router.add(target("e1", "llm"))
        now_s = router.clock.seconds()
        view = router.fleet.views["e1"]
        router.fleet.record_notice(view, False, 0.7, now_s)
        caller = router.submit("draft")
        router.advance(0.6)
        shorten_time(router)
        router.advance(0.3)
        self.assertEqual([], router.port.sent)
        assert caller.failure is not None
        self.assertEqual(Verdict.NOT_RUN, caller.failure.verdict)

    def test_cut_at_the_time_of_a_replaced_configuration(self) -> None:
        for timeout_s in (8.0, 3.0):
            router = ForwardRig()
            router.add(target("e1", "llm"))
            now_s = router.clock.seconds()
            view = router.fleet.views["e1"]
            router.fleet.record_notice(view, False, 0.7, now_s)
            caller = router.submit("draft", deadline_s=20.0)
            router.advance(0.6)
            change_time(router, timeout_s)
            router.advance(0.3)
            (sent,) = router.port.sent
            sent.begin(200, event(1))
            self.assertTrue(abs(sent.order.deadline_s + 0.75 - timeout_s) < 0.2)
            router.advance(timeout_s - 1.0)
            self.assertFalse(caller.is_broken, timeout_s)
            router.advance(0.2)
            self.assertTrue(caller.is_broken, timeout_s)
            self.assertEqual(0, router.forwarder.open_requests)


class BegunAnswerTest(TestCase):
    """A stream that has begun waits for what it needs until its deadline."""

    def begun(self, router: ForwardRig) -> FakeCaller:
        """Return the caller of a stream whose target has just broken off."""
        caller = router.submit("draft", deadline_s=20.0)
        router.port.sent[0].begin(200, event(1))
        return caller

    def test_it_waits_until_keys_may_be_trusted_again(self) -> None:
        router = rig()
        caller = self.begun(router)
        # The store does not answer for a while.
        router.clock.advance(4.5)
        router.port.sent[0].sink.failed(LOST)
        self.assertFalse(caller.is_broken)
        self.assertEqual(1, len(router.port.sent))
        router.advance(0.2)
        router.port.sent[1].answer(200, event(2))
        self.assertEqual(event(1) + event(2), caller.body)
        self.assertTrue(caller.is_ended)

    def test_it_waits_for_a_target_that_is_busy_for_long(self) -> None:
        router = rig()
        caller = self.begun(router)
        now_s = router.clock.seconds()
        for view in router.fleet.views.values():
            router.fleet.record_notice(view, False, 3.0, now_s)
        router.port.sent[0].sink.failed(LOST)
        router.advance(2.5)
        self.assertFalse(caller.is_broken)
        router.advance(1.0)
        router.port.sent[1].answer(200, event(2))
        self.assertEqual(event(1) + event(2), caller.body)

    def test_it_ends_at_its_deadline(self) -> None:
        router = rig()
        caller = self.begun(router)
        now_s = router.clock.seconds()
        for view in router.fleet.views.values():
            router.fleet.record_notice(view, False, 60.0, now_s)
        router.port.sent[0].sink.failed(LOST)
        router.advance(4.5)
        self.assertFalse(caller.is_broken)
        router.advance(0.6)
        self.assertTrue(caller.is_broken)
        self.assertEqual(0, router.forwarder.open_requests)

    def test_run_is_not_moved_while_keys_are_not_trusted(self) -> None:
        router = MoveTest.moving(3)
        self.begun(router)
        router.clock.advance(4.5)
        (forwarding,) = router.forwarder.open
        move_away(forwarding)
        self.assertEqual([], router.port.moves)


class MoveTest(TestCase):
    """A run is moved only if another target may take it up afterwards."""

    @staticmethod
    def moving(engines: int = 3) -> ForwardRig:
        """Return a router before engines that can move runs."""
        router = ForwardRig()
        router.add(*(target(f"e{number}", "llm") for number in range(engines)))
        pools = {"llm": ForwardPool(name="llm", models=("m",), has_moves=True)}
        router.configure(state(revision=2, pools=pools))
        return router

    def repeats(self, router: ForwardRig) -> int:
        """Return the repeats that a router has counted."""
        return len(router.forwarder.window.sends_of("llm", 0.0).repeats_s)

    def test_run_without_a_further_target_is_not_moved(self) -> None:
        router = self.moving()
        caller = router.submit("draft")
        router.port.sent[0].answer(503, refusal=BUSY)
        router.port.sent[1].begin(200, event(1))
        (forwarding,) = router.forwarder.open
        move_away(forwarding)
        self.assertEqual([], router.port.moves)
        router.port.sent[1].sink.data(event(2))
        router.port.sent[1].sink.done()
        self.assertTrue(caller.is_ended)

    def test_run_is_not_moved_while_repeats_are_used_up(self) -> None:
        router = self.moving()
        router.forwarder.window.allowance = 0.0
        router.forwarder.window.ratio = 0.0
        router.submit("draft")
        router.port.sent[0].begin(200, event(1))
        (forwarding,) = router.forwarder.open
        move_away(forwarding)
        self.assertEqual([], router.port.moves)

    def test_run_whose_destination_refuses_is_resumed(self) -> None:
        router = self.moving()
        caller = router.submit("draft")
        router.port.sent[0].begin(200, event(1))
        (forwarding,) = router.forwarder.open
        move_away(forwarding)
        # From here on no further repeat is allowed.
        router.forwarder.window.allowance = 0.0
        router.forwarder.window.ratio = 0.0
        router.port.move_answers[0].callback(Ok("ip:1/h"))
        router.port.sent[0].sink.failed(LOST)
        router.port.sent[1].answer(503, refusal=BUSY)
        router.port.sent[2].answer(200, event(2))
        self.assertEqual(event(1) + event(2), caller.body)
        self.assertTrue(caller.is_ended)
        self.assertEqual(1, self.repeats(router))

    def test_permission_is_given_back_once_the_run_goes_on(self) -> None:
        for is_moved in (True, False):
            router = self.moving()
            router.submit("draft")
            router.port.sent[0].begin(200, event(1))
            (forwarding,) = router.forwarder.open
            move_away(forwarding)
            self.assertEqual(1, self.repeats(router))
            if is_moved:
                router.port.move_answers[0].callback(Ok("ip:1/h"))
                router.port.sent[0].sink.failed(LOST)
                router.port.sent[1].begin(200, event(2))
            else:
                failure = not_run(Reason.TARGET_ERROR)
                router.port.move_answers[0].callback(Error(failure))
                router.port.sent[0].sink.data(event(2))
            self.assertEqual(0, self.repeats(router), is_moved)

    def test_permission_is_given_back_at_the_end(self) -> None:
        router = self.moving()
        router.submit("draft")
        router.port.sent[0].begin(200, event(1))
        (forwarding,) = router.forwarder.open
        move_away(forwarding)
        forwarding.caller_disconnected()
        self.assertEqual(0, self.repeats(router))
