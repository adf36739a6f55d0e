"""HTTP implementations of the ports to agents, targets and the log.

Each class implements a protocol of ``ports`` for the daemons.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final

import attrs
import treq
from expression import Error, Ok, Result
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers

from sequoiawind import defaults, messages, openai_format, sse, timing, wire
from sequoiawind.cache_index import CacheEvents, CacheList
from sequoiawind.event_loop import reactor
from sequoiawind.http_client import NOT_SENT, EventCall, JsonClient
from sequoiawind.http_server import (
    IDEMPOTENCY_KEY_HEADER,
    JSON_TYPE,
    REQUEST_ID_HEADER,
    SECRET_HEADER,
)
from sequoiawind.options import Address
from sequoiawind.ports import Call, LogPage, Sink
from sequoiawind.verdict import Failure, Reason, may_have_run, not_run
from sequoiawind.wire import (
    Attempt,
    Ended,
    LoadReport,
    Probe,
    ProbeAnswer,
    Reply,
)

EVENT_STARTED: Final = b"started"
EVENT_ENDED: Final = b"ended"
ATTEMPT_HEADER: Final = "X-Attempt-Id"
ACCOUNT_HEADER: Final = "X-Account"


@attrs.define(kw_only=True)
class AgentPort:
    """Opens attempts at agents."""

    client: HTTPClient
    secret: str

    def open(self, address: str, attempt: Attempt, sink: Sink) -> Call:
        """Open an attempt at the agent at an address."""
        call = AgentHttpCall(port=self, address=address, sink=sink)
        call.attempt_id = attempt.resume_of or attempt.attempt_id
        call.stream = EventCall(
            client=self.client,
            url=f"http://{address}/attempts",
            body=wire.encode(attempt),
            headers={
                SECRET_HEADER: self.secret,
                "Content-Type": JSON_TYPE,
            },
            on_event=call.event,
            on_refused=call.refused,
            on_lost=call.lost,
        )
        call.stream.start()
        return call

    def probe(
        self, address: str, probe: Probe
    ) -> Deferred[Result[ProbeAnswer, Failure]]:
        """Send a probe to the agent at an address; return its answer."""
        json_client = JsonClient(client=self.client, secret=self.secret)
        url = f"http://{address}/probe"
        call = json_client.call("POST", url, ProbeAnswer, probe)
        return Deferred.fromCoroutine(call)


@attrs.define(kw_only=True, eq=False)
class AgentHttpCall:
    """An attempt at an agent."""

    port: AgentPort
    address: str
    sink: Sink
    attempt_id: str = ""
    stream: EventCall | None = None
    is_ended: bool = False

    def event(self, event: sse.Event) -> None:
        """Handle one event of the agent's response stream."""
        if not event.name:
            attempt_id, index = sse.chunk_id(event)
            self.sink.chunk(attempt_id, index, event.data)
        elif event.name == EVENT_STARTED:
            self.sink.started(wire.decode(event.data, LoadReport))
        elif event.name == EVENT_ENDED:
            self.end(wire.decode(event.data, Ended))

    def refused(self, failure: Failure) -> None:
        """End the attempt with the failure of the call."""
        self.end(Ended(failure=failure))

    def lost(self) -> None:
        """Fail the attempt if the stream ended without an end event."""
        text = messages.CONNECTION_LOST
        self.end(Ended(failure=may_have_run(Reason.CONNECTION_LOST, text)))

    def end(self, ended: Ended) -> None:
        """Report the end of the attempt to the sink, at most once."""
        if not self.is_ended:
            self.is_ended = True
            self.sink.ended(ended)

    def cancel(self) -> None:
        """Cancel the attempt at the agent."""
        if self.is_ended:
            return
        self.is_ended = True
        if self.stream is not None:
            self.stream.cancel()
        json_client = JsonClient(
            client=self.port.client, secret=self.port.secret
        )
        url = f"http://{self.address}/attempts/{self.attempt_id}/cancel"
        Deferred.fromCoroutine(json_client.call("POST", url, dict))


@attrs.define(kw_only=True)
class EngineHttpPort:
    """Opens sequences at a model engine through its OpenAI interface."""

    client: HTTPClient

    def open(self, address: str, attempt: Attempt, sink: Sink) -> Call:
        """Start a sequence at the engine at an address."""
        call = EngineHttpCall(attempt=attempt, sink=sink)
        call.stream = EventCall(
            client=self.client,
            url=f"http://{address}{attempt.path}",
            body=openai_format.encode(engine_body(attempt)),
            headers={
                "Content-Type": JSON_TYPE,
                ATTEMPT_HEADER: attempt.attempt_id,
                REQUEST_ID_HEADER: attempt.request_id,
            },
            on_event=call.event,
            on_refused=call.refused,
            on_lost=call.lost,
            on_headers=call.headers,
        )
        call.stream.start()
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
    """A sequence at an engine."""

    attempt: Attempt
    sink: Sink
    stream: EventCall | None = None
    # Whether the last chunk has arrived.
    is_whole: bool = False
    usage: wire.Usage = attrs.field(factory=wire.Usage)

    def headers(self, headers: Any) -> None:
        """Report that the engine has accepted the request."""
        self.sink.started(LoadReport(target=self.attempt.target))

    def event(self, event: sse.Event) -> None:
        """Pass one chunk to the sink and record the usage it carries."""
        attempt_id, index = sse.chunk_id(event)
        if event.data == openai_format.DONE:
            self.is_whole = True
        else:
            self.usage = openai_format.usage_of(event.data) or self.usage
        self.sink.chunk(attempt_id, index, event.data)

    def refused(self, failure: Failure) -> None:
        """End the sequence with the failure of the request."""
        self.sink.ended(Ended(failure=failure))

    def lost(self) -> None:
        """End the sequence; it failed if its last chunk has not arrived."""
        if self.is_whole:
            self.sink.ended(Ended(usage=self.usage))
            return
        text = messages.TARGET_LOST
        failure = may_have_run(Reason.TARGET_LOST, text)
        self.sink.ended(Ended(failure=failure))

    def cancel(self) -> None:
        """Close the connection, which cancels the sequence."""
        if self.stream is not None:
            self.stream.cancel()


@attrs.define(kw_only=True)
class PlainHttpPort:
    """Sends calls to a plain service."""

    client: HTTPClient

    def open(self, address: str, attempt: Attempt, sink: Sink) -> Call:
        """Send a call to the service at an address."""
        call = PlainHttpCall(client=self.client, attempt=attempt, sink=sink)
        Deferred.fromCoroutine(call.run(address))
        return call


@attrs.define(kw_only=True, eq=False)
class PlainHttpCall:
    """A call to a plain service."""

    client: HTTPClient
    attempt: Attempt
    sink: Sink
    is_cancelled: bool = False

    async def run(self, address: str) -> None:
        """Send the call and deliver its answer."""
        self.sink.started(LoadReport(target=self.attempt.target))
        ended = await self.answer(address)
        if not self.is_cancelled:
            self.sink.ended(ended)

    async def answer(self, address: str) -> Ended:
        """Send the request; return the service's reply or the failure."""
        attempt = self.attempt
        sent = self.client.request(
            attempt.method,
            f"http://{address}{attempt.path}",
            data=attempt.body.encode(),
            headers=plain_headers(attempt),
        )
        try:
            response = await timing.with_timeout(
                sent, attempt.deadline_s, reactor
            )
            content = await treq.content(response)
        except NOT_SENT as problem:
            refused = not_run(Reason.CONNECT_FAILED, str(problem))
            return Ended(failure=refused)
        except Exception as problem:
            # Whatever the error, the service may have processed the call.
            lost = may_have_run(Reason.TARGET_LOST, repr(problem))
            return Ended(failure=lost)
        types = response.headers.getRawHeaders("Content-Type") or [""]
        return Ended(
            reply=Reply(
                status=response.code,
                content_type=types[0],
                body=wire.encode_body(content),
            )
        )

    def cancel(self) -> None:
        """Deliver nothing more; the service may still complete the call."""
        self.is_cancelled = True


def plain_headers(attempt: Attempt) -> Headers:
    """Return the headers of a call to a plain service."""
    headers = {
        "Content-Type": attempt.content_type,
        REQUEST_ID_HEADER: attempt.request_id,
        ACCOUNT_HEADER: attempt.account,
    }
    if attempt.idempotency_key:
        headers[IDEMPOTENCY_KEY_HEADER] = attempt.idempotency_key
    return Headers({name: [value] for name, value in headers.items()})


@attrs.define(kw_only=True)
class EngineControlPort:
    """Reads an engine's cache and load, and orders it to load weights."""

    json: JsonClient
    address: Address

    def events_from(
        self, sequence: int
    ) -> Deferred[Result[CacheEvents, Failure]]:
        """Return the cache events from a sequence number on."""
        url = f"http://{self.address}/cache/events?after={sequence}"
        return Deferred.fromCoroutine(self.json.call("GET", url, CacheEvents))

    def cache_list(self) -> Deferred[Result[CacheList, Failure]]:
        """Return all cached blocks."""
        url = f"http://{self.address}/cache/blocks"
        return Deferred.fromCoroutine(self.json.call("GET", url, CacheList))

    def load(self) -> Deferred[Result[LoadReport, Failure]]:
        """Return the engine's load report."""
        url = f"http://{self.address}/load"
        return Deferred.fromCoroutine(self.json.call("GET", url, LoadReport))

    def order_version(
        self, version: str, fencing: int
    ) -> Deferred[Result[bool, Failure]]:
        """Order a weights version; return whether it was accepted."""
        url = f"http://{self.address}/weights"
        order = {"version": version, "fencing": fencing}
        return Deferred.fromCoroutine(self.json.call("POST", url, bool, order))


@attrs.frozen(kw_only=True)
class Appended:
    """The log's answer to an append."""

    offset: int


@attrs.define(kw_only=True)
class LogHttpPort:
    """The platform's log over HTTP."""

    json: JsonClient
    address: Address

    def append(
        self, stream: str, records: Sequence[str]
    ) -> Deferred[Result[int, Failure]]:
        """Append records; return the offset of the first."""
        url = f"http://{self.address}/streams/{stream}/records"
        body = {"records": list(records)}
        call = self.json.call("POST", url, Appended, body)
        done = Deferred.fromCoroutine(call)
        return done.addCallback(offset_of)

    def read(
        self, stream: str, start: int, limit: int
    ) -> Deferred[Result[LogPage, Failure]]:
        """Read records from an offset on."""
        url = (
            f"http://{self.address}/streams/{stream}/records"
            f"?start={start}&limit={limit}"
        )
        return Deferred.fromCoroutine(self.json.call("GET", url, LogPage))


def offset_of(result: Result[Appended, Failure]) -> Result[int, Failure]:
    """Return the offset in the answer to an append."""
    if result.is_error():
        return Error(result.error)
    return Ok(result.ok.offset)


def log_port(client: HTTPClient, address: Address) -> LogHttpPort:
    """Return a port to the log at an address."""
    json_client = JsonClient(client=client, timeout_s=defaults.LOG_TIMEOUT_S)
    return LogHttpPort(json=json_client, address=address)
