"""A stream goes on only at the software version that began it."""

from typing import Any

from expression import Ok
from testtools import TestCase

from sequoiawind.forward_state import ForwardPool
from sequoiawind.verdict import Reason, may_have_run
from sequoiawind.wire import TargetStatus
from tests.forward_rig import FakeCaller, ForwardRig, state, target

LOST = may_have_run(Reason.CONNECTION_LOST, "lost")


def events(*numbers: int) -> bytes:
    """Return events of a stream."""
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)


def make_rig(**software: str) -> ForwardRig:
    """Return a router with engines, given with their software versions."""
    rig = ForwardRig()
    pool = ForwardPool(
        name="llm", models=("m",), memory_tokens=10_000, has_moves=True
    )
    rig.configure(state(2, pools={**rig.board.state.pools, "llm": pool}))
    for name, version in software.items():
        rig.add(target(name, "llm", software=version))
    return rig


def begin(rig: ForwardRig, **fields: Any) -> tuple[FakeCaller, str]:
    """Begin a stream; return its caller and the version that began it."""
    caller = rig.submit("draft", **fields)
    sent = rig.port.sent[-1]
    sent.begin(200, events(1, 2))
    return caller, sent.order.target.software


class OneAnswerTest(TestCase):
    """Within one answer."""

    def test_broken_stream_goes_on_at_its_version(self) -> None:
        for _ in range(10):
            rig = make_rig(e1="v1", e2="v2", e3="v1", e4="v2")
            caller, software = begin(rig)
            rig.port.sent[0].sink.failed(LOST)
            second = rig.port.sent[1]
            self.assertEqual(software, second.order.target.software)
            second.answer(200, events(3))
            self.assertEqual(events(1, 2, 3), caller.body)

    def test_broken_stream_without_its_version_is_aborted_at_once(self) -> None:
        rig = make_rig(e1="v1", e2="v2")
        caller, _ = begin(rig)
        rig.port.sent[0].sink.failed(LOST)
        self.assertEqual(1, len(rig.port.sent))
        self.assertTrue(caller.is_broken)
        self.assertFalse(caller.is_ended)

    def test_request_without_an_event_goes_to_any_version(self) -> None:
        rig = make_rig(e1="v1", e2="v2")
        rig.submit("draft")
        rig.port.sent[0].sink.failed(LOST)
        self.assertEqual(2, len(rig.port.sent))

    def test_run_is_moved_within_its_version(self) -> None:
        for others, moves in ((("v2", "v2"), 0), (("v2", "v1"), 1)):
            rig = make_rig(e1="v1")
            begin(rig)
            for name, version in zip(("e2", "e3"), others, strict=True):
                rig.add(target(name, "llm", software=version))
            loading = TargetStatus(target="e1", is_loading=True)
            rig.fleet.record_status("e1", loading, rig.clock.seconds())
            rig.forwarder.status_changed("e1")
            self.assertEqual(moves, len(rig.port.moves), others)
            if moves:
                rig.port.move_answers[0].callback(Ok("ip:1/h"))
                destination = rig.port.moves[0].destination
                self.assertEqual("v1", destination.software)
