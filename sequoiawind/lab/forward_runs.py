"""Runs of requests at the modelled targets, for the soak of the forwarding."""

import enum
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from sequoiawind.forward_ports import AnswerHead, ForwardSink, SendOrder
from sequoiawind.lab.forward_world import EVENT_S, LATENCY_S, LOST
from sequoiawind.lab.memory_network import Node
from sequoiawind.lab.stream_content import event_bytes, event_count, stream_id
from sequoiawind.verdict import Reason, not_run

if TYPE_CHECKING:
    from sequoiawind.lab.forward_targets import SimulatedTarget


class RunEnd(enum.Enum):
    """What became of a run."""

    OPEN = "open"
    # The target has answered completely.
    DONE = "done"
    # The target did not run the request.
    REFUSED = "refused"
    # The target, or the copy of a run's memory, broke the answer off.
    BROKEN = "broken off"
    # The router gave it up, or moved it to another target.
    CANCELLED = "cancelled"
    MOVED = "moved"


@attrs.define(kw_only=True, eq=False)
class SimulatedRun:
    """One run of a request at a target; also its router's `Call`."""

    target: "SimulatedTarget"
    order: SendOrder
    sink: ForwardSink
    node: Node
    epoch: int
    sent_s: float
    event: int = 0
    # When the last event reached the router, and when the run ended; negative
    # and infinite before it.
    event_s: float = -1.0
    ended_s: float = float("inf")
    end: RunEnd = RunEnd.OPEN
    # Whether it will never go on.
    is_hung: bool = False
    is_cancelled: bool = False
    # Whether only the end of the connection ends the answer.
    is_close_delimited: bool = False

    @property
    def goes_on(self) -> bool:
        """Whether the target would complete the answer, unless given up."""
        is_given_up = self.end in (RunEnd.OPEN, RunEnd.CANCELLED)
        return is_given_up and self.target.is_up and not self.is_hung

    def note_end(self, end: RunEnd) -> None:
        """Note how the run ended, unless it had ended before."""
        if self.end is RunEnd.OPEN:
            self.end, self.ended_s = end, self.target.world.clock.seconds()

    def cancel(self) -> None:
        """Stop the run; nothing more is delivered."""
        self.is_cancelled = True
        self.note_end(RunEnd.CANCELLED)
        self.target.runs.pop(self.order.request.request_id, None)

    def send_back(self, action: Callable[[], None]) -> None:
        """Run a callback in the router's process, unless cancelled."""

        def act() -> None:
            if not self.is_cancelled:
                action()

        clock = self.target.world.clock
        clock.callLater(LATENCY_S, self.node.run, self.epoch, act)

    def finish(self, end: RunEnd, action: Callable[[], None]) -> None:
        """Remove the run and deliver the end of its answer."""
        self.note_end(end)
        self.target.runs.pop(self.order.request.request_id, None)
        self.send_back(action)

    def refuse(self, reason: Reason) -> None:
        """Answer that the request was not run."""
        head = AnswerHead(
            status=503,
            headers=[],
            refusal=not_run(reason),
            limit_per_s=self.target.stated_per_s,
        )
        self.send_back(lambda: self.sink.head(head))
        self.finish(RunEnd.REFUSED, self.sink.done)

    def break_off(self) -> None:
        """Break the answer off; a close-delimited one inside an event."""
        if self.is_close_delimited:
            part = b"id: %d\nda" % (self.event + 1)
            self.send_back(lambda: self.sink.data(part))
            self.finish(RunEnd.BROKEN, self.sink.done)
            self.target.world.counts["streams truncated"] += 1
        else:
            self.finish(RunEnd.BROKEN, lambda: self.sink.failed(LOST))

    def stop(self, end: RunEnd) -> None:
        """End the stream after an event, before its last one."""
        if self.is_close_delimited:
            self.finish(end, self.sink.done)
        else:
            self.finish(end, lambda: self.sink.failed(LOST))

    def produce_event(self) -> None:
        """Send the next event of the answer, or its end."""
        if self.is_cancelled or not self.target.is_up:
            return
        request = self.order.request
        if request.request_id not in self.target.runs:
            return
        name = stream_id(request)
        if self.event >= event_count(name):
            self.finish(RunEnd.DONE, self.sink.done)
            return
        self.event += 1
        data = event_bytes(name, self.event, self.target.entry.software)
        self.send_back(lambda: self.pass_event(data))
        if self.target.world.happens(self.target.world.fault_rates.lost / 10):
            self.break_off()
            return
        if self.target.world.happens(self.target.world.fault_rates.hung / 10):
            self.is_hung = True
        else:
            self.target.work(EVENT_S, SimulatedRun.produce_event, self)

    def pass_event(self, data: bytes) -> None:
        """Deliver an event."""
        self.event_s = self.target.world.clock.seconds()
        self.sink.data(data)
