"""Moving a stream whose target begins to load weights to another target."""

from typing import Any

from expression import Error, Ok
from testtools import TestCase

from sequoiawind.forward_state import ForwardPool
from sequoiawind.verdict import Reason, may_have_run
from sequoiawind.wire import TargetStatus
from tests.forward_rig import FakeCaller, ForwardRig, state, target

LOST = may_have_run(Reason.CONNECTION_LOST, "lost")
LOADING = TargetStatus(is_loading=True)


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return b"id: %d\ndata: x\n\n" % number


def events(*numbers: int) -> bytes:
    """Return events of a stream."""
    return b"".join(event(number) for number in numbers)


class MoveTest(TestCase):
    """A moved stream stays complete; one that cannot move is not harmed."""

    def begin(
        self, route: str = "draft", has_moves: bool = True, body: bytes = b""
    ) -> FakeCaller:
        """Begin a stream; its target then reports that it will load."""
        self.rig = ForwardRig()
        pool = ForwardPool(
            name="llm",
            models=("m",),
            memory_tokens=10_000,
            has_moves=has_moves,
        )
        app = ForwardPool(name="app", service="plain")
        self.rig.configure(state(2, pools={"llm": pool, "app": app}))
        self.rig.add(target("e1", "llm"), target("e2", "llm"))
        caller = self.rig.submit(route)
        self.first = self.rig.port.sent[0]
        self.first.begin(200, body or events(1, 2))
        self.load(self.first.order.target.name)
        return caller

    def load(self, name: str, **fields: Any) -> None:
        """Let a target's agent report that the target will load."""
        now_s = self.rig.clock.seconds()
        self.rig.fleet.record_status(name, LOADING, now_s)
        self.rig.forwarder.status_changed(name)

    def answer(self, moved_from: str = "ip:1/h") -> None:
        """Answer the move request: the run was stopped and copied."""
        self.rig.port.move_answers[-1].callback(Ok(moved_from))

    def refuse(self) -> None:
        """Answer the move request: the move failed."""
        self.rig.port.move_answers[-1].callback(Error(LOST))

    def finish_with(self, *numbers: int) -> None:
        """Complete the last attempt with the given events."""
        self.rig.port.sent[-1].answer(200, events(*numbers))

    def test_continues_after_the_last_event(self) -> None:
        # The stream may end before or after the answer to the move request,
        # and further events may arrive first.
        for late, is_answered_first in (
            ((), True),
            ((), False),
            ((3,), True),
            ((3,), False),
        ):
            caller = self.begin()
            self.assertEqual(1, len(self.rig.port.moves))
            if is_answered_first:
                self.answer()
            self.first.sink.data(events(*late))
            self.first.sink.failed(LOST)
            if not is_answered_first:
                self.answer()
            second = self.rig.port.sent[1].order
            self.assertEqual("ip:1/h", second.moved_from)
            self.assertEqual(2 + len(late), second.after_event)
            self.assertNotEqual(self.first.order.target, second.target)
            self.assertEqual(
                (self.first.order.version, self.first.order.salt),
                (second.version, second.salt),
            )
            self.finish_with(*range(3 + len(late), 6))
            self.assertEqual(events(1, 2, 3, 4, 5), caller.body)
            self.assertTrue(caller.is_ended)
            self.assertEqual([200], caller.statuses)

    def test_stream_that_does_not_end_is_cancelled(self) -> None:
        caller = self.begin()
        self.answer()
        self.assertEqual(1, len(self.rig.port.sent))
        self.rig.advance(0.1)
        self.assertTrue(self.first.call.is_cancelled)
        self.finish_with(2, 3)
        self.assertEqual(events(1, 2, 3), caller.body)

    def test_refused_move_changes_nothing(self) -> None:
        caller = self.begin()
        self.refuse()
        self.assertEqual(1, len(self.rig.port.sent))
        self.first.sink.data(event(3))
        self.first.sink.done()
        self.assertEqual(events(1, 2, 3), caller.body)
        self.assertTrue(caller.is_ended)

    def test_stream_broken_by_a_failed_move_is_resumed(self) -> None:
        for is_answered_first in (True, False):
            caller = self.begin()
            if is_answered_first:
                self.refuse()
            self.first.sink.failed(LOST)
            if not is_answered_first:
                self.refuse()
            second = self.rig.port.sent[1].order
            self.assertEqual(("", 2), (second.moved_from, second.after_event))
            self.finish_with(3)
            self.assertEqual(events(1, 2, 3), caller.body)

    def test_stream_refused_by_the_destination_is_resumed(self) -> None:
        caller = self.begin()
        self.answer()
        self.first.sink.failed(LOST)
        self.rig.add(target("e3", "llm"))
        busy = may_have_run(Reason.TARGET_BUSY, "memory of the run not found")
        self.rig.port.sent[1].sink.failed(busy)
        third = self.rig.port.sent[2].order
        self.assertEqual(("", 2), (third.moved_from, third.after_event))
        self.finish_with(3)
        self.assertEqual(events(1, 2, 3), caller.body)

    def test_stream_ends_during_the_move(self) -> None:
        caller = self.begin()
        self.first.sink.data(event(3))
        self.first.sink.done()
        self.answer()
        self.assertEqual(events(1, 2, 3), caller.body)
        self.assertEqual(1, len(self.rig.port.sent))
        self.assertEqual(["ip:1/h"], self.rig.port.released_runs)

    def test_caller_disconnects_during_the_move(self) -> None:
        self.begin()
        (forwarding,) = self.rig.forwarder.open
        forwarding.caller_disconnected()
        self.assertTrue(self.first.call.is_cancelled)
        self.answer()
        self.assertEqual(1, len(self.rig.port.sent))
        self.assertEqual(["ip:1/h"], self.rig.port.released_runs)

    def test_stream_moves_twice(self) -> None:
        caller = self.begin()
        self.answer()
        self.first.sink.failed(LOST)
        second = self.rig.port.sent[1]
        second.begin(200, event(3))
        self.rig.add(target("e3", "llm"))
        self.load(second.order.target.name)
        self.answer("ip:2/h")
        second.sink.failed(LOST)
        self.assertEqual("ip:2/h", self.rig.port.sent[2].order.moved_from)
        self.finish_with(4)
        self.assertEqual(events(1, 2, 3, 4), caller.body)

    def test_stream_that_cannot_move_stays(self) -> None:
        for what, fields in (
            ("may not be resumed", {"route": "brief"}),
            ("copies no memory", {"has_moves": False}),
            ("has not begun", {"body": b"id: 1"}),
        ):
            self.begin(**fields)  # type: ignore[arg-type]
            self.assertEqual([], self.rig.port.moves, what)

    def test_stream_stays_without_a_destination(self) -> None:
        for fields in ({"versions": {"m": 2}}, {"is_draining": True}):
            self.rig = ForwardRig()
            caller = self.begin()
            self.refuse()
            self.rig.port.moves.clear()
            name = self.first.order.target.name
            other = "e2" if name == "e1" else "e1"
            self.rig.add(target(other, "llm", **fields))
            self.load(name)
            self.assertEqual([], self.rig.port.moves, fields)
            self.assertFalse(caller.is_ended)

    def test_move_is_not_counted_as_a_repeat(self) -> None:
        caller = self.begin()
        self.rig.forwarder.window.allowance = 0.0
        self.rig.forwarder.window.ratio = 0.0
        self.answer()
        self.first.sink.failed(LOST)
        self.finish_with(3)
        self.assertEqual(events(1, 2, 3), caller.body)
