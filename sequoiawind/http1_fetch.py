"""Calls whose whole answer is collected, with a time-out."""

from collections.abc import Callable
from typing import Any, Final

import attrs
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from sequoiawind import defaults, messages
from sequoiawind.headers import Headers
from sequoiawind.http1_client import Http1Client, HttpCall, OutgoingRequest
from sequoiawind.options import Address
from sequoiawind.ports import Clock, Timer
from sequoiawind.verdict import Failure, Reason, may_have_run

# Longest time for which an answer that keeps arriving is waited for, in
# seconds: a peer that sends a byte now and then must not hold a caller.
MAX_ARRIVAL_S: Final = 5.0
# What the collected answers of one client may take together, in bytes, and the
# size from which an answer fails for that.
MAX_COLLECTED_BYTES: Final = 12 * 1024 * 1024
LARGE_ANSWER_BYTES: Final = 1024 * 1024


@attrs.frozen(kw_only=True)
class HttpReply:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


@attrs.define(kw_only=True, eq=False)
class ReplySink:
    """Collects a whole answer."""

    when_done: Deferred[Result[HttpReply, Failure]] = attrs.field(
        factory=Deferred
    )
    status: int = 0
    headers: Headers = attrs.field(factory=list)
    body: bytearray = attrs.field(factory=bytearray)
    is_over: bool = False
    # Counts what all answers of the client take.
    client: Http1Client | None = None
    # Called when a part of the body has arrived.
    on_data: Callable[[], None] = attrs.field(default=lambda: None)

    def head(self, status: int, headers: Headers) -> None:
        """Store the status and headers."""
        self.status = status
        self.headers = headers

    def data(self, data: bytes) -> None:
        """Append a part of the body; one that is too large is a failure."""
        if self.is_over:
            return
        self.body += data
        self.on_data()
        collected = 0
        if self.client is not None:
            self.client.collected_bytes += len(data)
            collected = self.client.collected_bytes
        size = len(self.body)
        if size > defaults.MAX_HELD_BODY_BYTES or (
            size > LARGE_ANSWER_BYTES and collected > MAX_COLLECTED_BYTES
        ):
            text = messages.ANSWER_TOO_LARGE
            self.failed(may_have_run(Reason.TARGET_ERROR, text))

    def done(self) -> None:
        """Finish with the whole answer."""
        self.finish(
            Ok(
                HttpReply(
                    status=self.status,
                    headers=self.headers,
                    body=bytes(self.body),
                )
            )
        )

    def failed(self, failure: Failure) -> None:
        """Finish with the failure."""
        self.finish(Error(failure))

    def finish(self, result: Result[HttpReply, Failure]) -> None:
        """Fire the Deferred with the result, at most once."""
        if not self.is_over:
            self.is_over = True
            self.release()
            self.when_done.callback(result)

    def release(self) -> None:
        """Keep what has arrived no longer."""
        if self.client is not None:
            self.client.collected_bytes -= len(self.body)
        self.body = bytearray()


@attrs.define(kw_only=True, eq=False)
class AnswerTimer:
    """Ends a call whose answer does not arrive in time."""

    clock: Clock
    call: HttpCall
    sink: ReplySink
    # Time allowed between two parts of the body, in seconds.
    stall_s: float
    began_s: float = attrs.field(init=False)
    # When a part of the body last arrived, in seconds of the clock.
    heard_s: float = attrs.field(init=False)
    timer: Timer | None = None

    def start(self, timeout_s: float) -> None:
        """Allow a time for the answer, in seconds."""
        self.began_s = self.heard_s = self.clock.seconds()
        self.sink.on_data = self.heard
        self.timer = self.clock.callLater(timeout_s, self.check)

    def heard(self) -> None:
        """Note that a part of the body has arrived."""
        self.heard_s = self.clock.seconds()

    def check(self) -> None:
        """Wait on for an answer that keeps arriving; end the call otherwise."""
        stalls_s = self.heard_s + self.stall_s
        left_s = min(stalls_s, self.began_s + MAX_ARRIVAL_S) - (
            self.clock.seconds()
        )
        if self.sink.body and left_s > 0.0:
            self.timer = self.clock.callLater(left_s, self.check)
            return
        self.call.cancel()
        text = messages.START_TIMEOUT
        if self.sink.status:
            size = len(self.sink.body)
            text = f"{messages.ANSWER_UNFINISHED}: {size} bytes so far"
        self.sink.failed(may_have_run(Reason.START_TIMEOUT, text))

    def stop(self) -> None:
        """Stop the timer, as the call has ended."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


def fetch(
    client: Http1Client,
    address: Address | str,
    request: OutgoingRequest,
    timeout_s: float,
    stall_s: float = 0.0,
) -> Deferred[Result[HttpReply, Failure]]:
    """Send a request; return its whole answer, or the failure.

    A call that takes too long, or whose answer is larger than
    `defaults.MAX_HELD_BODY_BYTES`, is cancelled and fails.  So does one whose
    answer is large while all together are larger than `MAX_COLLECTED_BYTES`.

    Args:
      client: Makes the call.
      address: Where to send the request.
      request: The request.
      timeout_s: Time allowed for the answer, in seconds.
      stall_s: Time allowed beyond that between two parts of its body, in
        seconds, so that a long answer may arrive over a thin link.
    """
    sink = ReplySink(client=client)
    call = client.call(str(address), request, sink)
    timer = AnswerTimer(
        clock=client.reactor, call=call, sink=sink, stall_s=stall_s
    )
    timer.start(timeout_s)

    def stop(result: Result[HttpReply, Failure] | TwistedFailure) -> Any:
        timer.stop()
        # A caller that cancels the Deferred makes it fail.
        if isinstance(result, TwistedFailure) or result.is_error():
            call.cancel()
            sink.release()
        return result

    return sink.when_done.addBoth(stop)
