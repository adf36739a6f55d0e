"""HTTP implementations of an agent's port to its target.

Targets are met through `http1_client`, which tells where an answer ends,
whether it was broken off, and whether its request may have run.
"""

from collections.abc import Mapping
from typing import Any, Final

import attrs
from expression import Result
from twisted.internet.defer import Deferred

from sequoiawind import messages, openai_format, sse, wire
from sequoiawind.headers import Headers
from sequoiawind.http1_client import Http1Client, HttpCall, OutgoingRequest
from sequoiawind.http1_fetch import HttpReply, fetch
from sequoiawind.http_client import error_of
from sequoiawind.http_server import (
    IDEMPOTENCY_KEY_HEADER,
    JSON_TYPE,
    REQUEST_ID_HEADER,
)
from sequoiawind.ports import Call, Sink
from sequoiawind.verdict import Failure, Reason, Verdict, may_have_run
from sequoiawind.wire import Attempt, Ended, LoadReport, Reply

ATTEMPT_HEADER: Final = "X-Attempt-Id"
ACCOUNT_HEADER: Final = "X-Account"
OK_STATUS: Final = 200
# Largest error answer of an engine that is read, in bytes.
MAX_ERROR_BYTES: Final = 65_536


@attrs.define(kw_only=True)
class EngineHttpPort:
    """Opens sequences at a model engine through its OpenAI interface."""

    client: Http1Client

    def open(self, address: str, attempt: Attempt, sink: Sink) -> Call:
        """Start a sequence at the engine at an address."""
        call = EngineHttpCall(attempt=attempt, sink=sink)
        request = OutgoingRequest(
            method=b"POST",
            request_target=attempt.path.encode(),
            headers=encoded_headers(
                address,
                {
                    "Content-Type": JSON_TYPE,
                    ATTEMPT_HEADER: attempt.attempt_id,
                    REQUEST_ID_HEADER: attempt.request_id,
                },
            ),
            body=openai_format.encode(engine_body(attempt)),
            echo=attempt_echo(attempt),
        )
        call.http = self.client.call(address, request, call)
        return call


def engine_body(attempt: Attempt) -> Mapping[str, Any]:
    """Return the body of a request to an engine."""
    body: dict[str, Any] = {}
    if attempt.body:
        body = openai_format.decode(attempt.body)
    if attempt.path == openai_format.TEXT_PATH:
        body["prompt"] = attempt.prompt
    body |= {
        "model": attempt.model,
        "max_tokens": attempt.max_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
        "cache_salt": attempt.cache_salt,
        "priority": attempt.priority,
        "weights_version": attempt.version,
    }
    if attempt.start_index:
        body["continue_from"] = {
            "index": attempt.start_index,
            "text": attempt.partial,
        }
    return body


@attrs.define(kw_only=True, eq=False)
class EngineHttpCall:
    """A sequence at an engine; the sink of the engine's answer."""

    attempt: Attempt
    sink: Sink
    http: HttpCall | None = None
    # Status of the answer; 0 before its head.
    status: int = 0
    reader: sse.EventReader = attrs.field(factory=sse.EventReader)
    error_body: bytes = b""
    # Whether the last chunk has arrived.
    is_whole: bool = False
    is_over: bool = False
    usage: wire.Usage = attrs.field(factory=wire.Usage)

    def head(self, status: int, headers: Headers) -> None:
        """Report that the engine has accepted the request, if it has."""
        self.status = status
        if status == OK_STATUS:
            self.sink.started(LoadReport(target=self.attempt.target))

    def data(self, data: bytes) -> None:
        """Pass on the chunks that arrived, or keep a part of an error."""
        if self.is_over:
            return
        if self.status != OK_STATUS:
            self.error_body += data
            if len(self.error_body) > MAX_ERROR_BYTES:
                self.refuse(messages.ANSWER_TOO_LARGE)
            return
        try:
            for event in self.reader.feed(data):
                self.event(event)
        except (
            sse.SseError,
            wire.WireError,
            openai_format.FormatError,
        ) as problem:
            self.refuse(str(problem))

    def event(self, event: sse.Event) -> None:
        """Pass one chunk to the sink and record the usage it carries."""
        if self.is_over:
            return
        attempt_id, index = sse.chunk_id(event)
        if event.data == openai_format.DONE:
            self.is_whole = True
        else:
            self.usage = openai_format.usage_of(event.data) or self.usage
        self.sink.chunk(attempt_id, index, event.data)

    def done(self) -> None:
        """End the sequence with the end of the engine's answer."""
        if self.status == OK_STATUS:
            self.end_stream()
        else:
            self.end(Ended(failure=error_of(self.status, self.error_body)))

    def failed(self, failure: Failure) -> None:
        """End the sequence after the loss of its connection."""
        if self.status == OK_STATUS:
            self.end_stream()
        else:
            self.end(Ended(failure=failure))

    def end_stream(self) -> None:
        """End the sequence; it failed if its last chunk has not arrived."""
        if self.is_whole:
            self.end(Ended(usage=self.usage))
            return
        text = messages.TARGET_LOST
        self.end(Ended(failure=may_have_run(Reason.TARGET_LOST, text)))

    def refuse(self, detail: str) -> None:
        """End the sequence because its answer cannot be used."""
        if self.http is not None:
            self.http.cancel()
        self.end(Ended(failure=may_have_run(Reason.TARGET_ERROR, detail)))

    def end(self, ended: Ended) -> None:
        """Report the end of the sequence, at most once."""
        if not self.is_over:
            self.is_over = True
            self.sink.ended(ended)

    def cancel(self) -> None:
        """Close the connection, which cancels the sequence."""
        self.is_over = True
        if self.http is not None:
            self.http.cancel()


@attrs.define(kw_only=True)
class PlainHttpPort:
    """Sends calls to a plain service."""

    client: Http1Client

    def open(self, address: str, attempt: Attempt, sink: Sink) -> Call:
        """Send a call to the service at an address."""
        call = PlainHttpCall(client=self.client, attempt=attempt, sink=sink)
        call.start(address)
        return call


@attrs.define(kw_only=True, eq=False)
class PlainHttpCall:
    """A call to a plain service."""

    client: Http1Client
    attempt: Attempt
    sink: Sink
    is_cancelled: bool = False

    def start(self, address: str) -> None:
        """Send the request; its answer goes to the sink."""
        attempt = self.attempt
        self.sink.started(LoadReport(target=attempt.target))
        request = OutgoingRequest(
            method=attempt.method.encode(),
            request_target=attempt.path.encode(),
            headers=encoded_headers(address, plain_headers(attempt)),
            body=attempt.body.encode(),
            echo=attempt_echo(attempt),
        )
        answered: Deferred[Result[HttpReply, Failure]] = fetch(
            self.client, address, request, attempt.deadline_s
        )
        answered.addCallback(self.answered)

    def answered(self, result: Result[HttpReply, Failure]) -> None:
        """Deliver the service's reply or the failure."""
        if self.is_cancelled:
            return
        if result.is_error():
            failure = result.error
            if failure.verdict is not Verdict.NOT_RUN:
                failure = attrs.evolve(failure, reason=Reason.TARGET_LOST)
            self.sink.ended(Ended(failure=failure))
            return
        reply = result.ok
        content_type = dict(reply.headers).get(b"content-type", b"")
        self.sink.ended(
            Ended(
                reply=Reply(
                    status=reply.status,
                    content_type=content_type.decode("latin-1"),
                    body=wire.encode_body(reply.body),
                )
            )
        )

    def cancel(self) -> None:
        """Deliver nothing more; the service may still complete the call."""
        self.is_cancelled = True


def plain_headers(attempt: Attempt) -> Mapping[str, str]:
    """Return the headers of a call to a plain service."""
    headers = {
        "Content-Type": attempt.content_type,
        REQUEST_ID_HEADER: attempt.request_id,
        ATTEMPT_HEADER: attempt.attempt_id,
        ACCOUNT_HEADER: attempt.account,
    }
    if attempt.idempotency_key:
        headers[IDEMPOTENCY_KEY_HEADER] = attempt.idempotency_key
    return headers


def encoded_headers(address: str, headers: Mapping[str, str]) -> Headers:
    """Return headers as bytes, after the Host of an address."""
    return [
        (b"host", address.encode()),
        *(
            (name.lower().encode(), value.encode())
            for name, value in headers.items()
        ),
    ]


def attempt_echo(attempt: Attempt) -> tuple[bytes, bytes]:
    """Return the header by which answers to other attempts are recognised.

    An answer of a target that does not echo it is taken as it comes.
    """
    return (ATTEMPT_HEADER.lower().encode(), attempt.attempt_id.encode())
