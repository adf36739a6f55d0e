"""Calls whose whole answer is collected, with a time-out."""

from typing import Any

import attrs
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from sequoiawind import defaults, messages
from sequoiawind.headers import Headers
from sequoiawind.http1_client import Http1Client, OutgoingRequest
from sequoiawind.options import Address
from sequoiawind.verdict import Failure, Reason, may_have_run


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

    def head(self, status: int, headers: Headers) -> None:
        """Store the status and headers."""
        self.status = status
        self.headers = headers

    def data(self, data: bytes) -> None:
        """Append a part of the body; one that is too large is a failure."""
        self.body += data
        if len(self.body) > defaults.MAX_HELD_BODY_BYTES:
            text = messages.ANSWER_TOO_LARGE
            self.failed(may_have_run(Reason.TARGET_ERROR, text))
            self.body.clear()

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
            self.when_done.callback(result)


def fetch(
    client: Http1Client,
    address: Address | str,
    request: OutgoingRequest,
    timeout_s: float,
) -> Deferred[Result[HttpReply, Failure]]:
    """Send a request; return its whole answer, or the failure.

    A call that takes longer than `timeout_s` seconds, or whose answer is larger
    than `defaults.MAX_HELD_BODY_BYTES`, is cancelled and fails.
    """
    sink = ReplySink()
    call = client.call(str(address), request, sink)

    def timed_out() -> None:
        call.cancel()
        text = messages.START_TIMEOUT
        if sink.status:
            text = (
                f"{messages.ANSWER_UNFINISHED}: {len(sink.body)} bytes so far"
            )
        sink.failed(may_have_run(Reason.START_TIMEOUT, text))

    timer = client.reactor.callLater(timeout_s, timed_out)

    def stop(result: Result[HttpReply, Failure] | TwistedFailure) -> Any:
        if timer.active():
            timer.cancel()
        # A caller that cancels the Deferred makes it fail.
        if isinstance(result, TwistedFailure) or result.is_error():
            call.cancel()
        return result

    return sink.when_done.addBoth(stop)
