"""A simulated plain service: a stand-in that counts its executions.

It serves bookings and registrations, which take effect once per call, and
status reads.  It does not deduplicate calls, so that a repeated execution
shows in the counts.
"""

from collections import Counter
from functools import partial

import attrs

from sequoiawind import messages, openai_format, wire
from sequoiawind.lab.engine_model import NoCall
from sequoiawind.ports import Call, Clock, Sink
from sequoiawind.verdict import Reason, may_have_run, not_run
from sequoiawind.wire import Attempt, Ended, LoadReport, Reply


@attrs.define(kw_only=True)
class PlainModel:
    """A simulated service; implements the target side of `TargetPort`."""

    name: str
    clock: Clock
    work_time_s: float = 0.02
    # Incremented by every crash, so that calls before it are dropped.
    starts: int = 0
    is_down: bool = False
    # Executions by account and idempotency key, and by request id.
    by_key: Counter[str] = attrs.field(factory=Counter)
    by_request: Counter[str] = attrs.field(factory=Counter)
    open_sinks: list[Sink] = attrs.field(factory=list)

    def open(self, address: str, attempt: Attempt, sink: Sink) -> Call:
        """Accept a call, and execute it after half of the work time."""
        if self.is_down:
            down = not_run(Reason.CONNECT_FAILED, messages.CONNECT_FAILED)
            sink.ended(Ended(failure=down))
            return NoCall()
        self.open_sinks.append(sink)
        sink.started(LoadReport(target=self.name))
        self.clock.callLater(
            self.work_time_s / 2,
            partial(self.execute, self.starts, attempt, sink),
        )
        return NoCall()

    def execute(self, starts: int, attempt: Attempt, sink: Sink) -> None:
        """Count the execution; the reply follows half the work time later."""
        if starts != self.starts:
            return
        self.by_request[attempt.request_id] += 1
        if attempt.idempotency_key:
            key = f"{attempt.account}/{attempt.idempotency_key}"
            self.by_key[key] += 1
        self.clock.callLater(
            self.work_time_s / 2,
            partial(self.send_reply, self.starts, attempt, sink),
        )

    def send_reply(self, starts: int, attempt: Attempt, sink: Sink) -> None:
        """Send the reply to a call."""
        if starts != self.starts:
            return
        self.open_sinks.remove(sink)
        sink.ended(Ended(reply=self.reply(attempt)))

    def reply(self, attempt: Attempt) -> Reply:
        """Return the reply to an executed call."""
        body = {
            "request": attempt.request_id,
            "path": attempt.path,
            "served_by": self.name,
        }
        return Reply(
            status=200,
            content_type="application/json",
            body=wire.encode_body(openai_format.encode(body)),
        )

    def crash(self, down_s: float = 0.0) -> None:
        """Fail all open calls; what was executed stays counted.

        Args:
          down_s: How long new calls are refused, in seconds.
        """
        self.starts += 1
        self.is_down = down_s > 0.0
        lost, self.open_sinks = self.open_sinks, []
        for sink in lost:
            failure = may_have_run(Reason.TARGET_LOST, messages.TARGET_LOST)
            sink.ended(Ended(failure=failure))
        if self.is_down:
            self.clock.callLater(down_s, self.end_outage)

    def end_outage(self) -> None:
        """Accept calls again after a crash."""
        self.is_down = False
