"""One attempt of an exchange at one target's agent; the sink of its events."""

from functools import partial
from typing import TYPE_CHECKING

import attrs

from sequoiawind import messages
from sequoiawind.placement import Candidate
from sequoiawind.ports import ResumableCall
from sequoiawind.request_execution import OpenAttempt
from sequoiawind.verdict import Reason, may_have_run
from sequoiawind.wire import Attempt, Ended, LoadReport

if TYPE_CHECKING:
    from sequoiawind.exchange import Exchange


@attrs.define(kw_only=True, eq=False)
class AttemptSink(OpenAttempt):
    """Receives the events of one attempt of an exchange."""

    exchange: "Exchange"
    attempt: Attempt
    candidate: Candidate
    call: ResumableCall | None = None
    has_started: bool = False
    # Whether a chunk has arrived since the timer was set.
    has_received: bool = False
    # Whether nothing has arrived for longer than the timeout.
    is_silent: bool = False

    @property
    def run_id(self) -> str:
        """The attempt whose chunks are delivered; another one if resumed."""
        return self.attempt.resume_of or self.attempt.attempt_id

    def started(self, load: LoadReport) -> None:
        """Record that the agent has admitted the attempt."""
        if self.is_over:
            return
        self.has_started = True
        self.is_silent = False
        self.exchange.context.members.update_load(load, self.clock.seconds())
        self.restart_timer(self.exchange.chunk_timeout_s, Reason.CHUNK_TIMEOUT)
        self.exchange.attempt_started(self)

    def chunk(self, attempt_id: str, index: int, data: bytes) -> None:
        """Accept a chunk, unless it belongs to another attempt."""
        if self.is_over or attempt_id != self.run_id:
            self.exchange.foreign_chunks += 1
            return
        self.has_received = True
        self.is_silent = False
        if index >= self.exchange.order.expected:
            self.exchange.take_over(self)
        self.exchange.take_chunk(index, data)

    def ended(self, ended: Ended) -> None:
        """Close the attempt and pass its end to the exchange."""
        if not self.close():
            return
        if ended.load is not None:
            now_s = self.clock.seconds()
            self.exchange.context.members.update_load(ended.load, now_s)
        self.exchange.attempt_ended(self, ended)

    def restart_timer(self, timeout_s: float, reason: Reason) -> None:
        """Report the attempt as silent if nothing arrives in time."""
        self.set_timeout(timeout_s, partial(self.timed_out, reason))

    def timed_out(self, reason: Reason) -> None:
        """Report a silence, unless a chunk has arrived since the last check."""
        if self.is_over:
            return
        has_received, self.has_received = self.has_received, False
        timeout_s = self.exchange.start_timeout_s
        if self.has_started:
            timeout_s = self.exchange.chunk_timeout_s
        # At a further timeout other targets are tried again.
        self.restart_timer(timeout_s, reason)
        if has_received:
            return
        self.is_silent = True
        text = messages.START_TIMEOUT
        if reason is Reason.CHUNK_TIMEOUT:
            text = messages.CHUNK_TIMEOUT
        self.exchange.attempt_silent(self, may_have_run(reason, text))

    def detach(self) -> None:
        """Close the attempt without ending its run, which goes on elsewhere."""
        if self.close() and self.call is not None:
            self.call.detach()

    def release(self) -> None:
        """Remove the attempt from the open attempts."""
        self.exchange.open_attempts.remove(self)
        self.exchange.context.members.health_of(
            self.candidate.name
        ).open_attempts -= 1
