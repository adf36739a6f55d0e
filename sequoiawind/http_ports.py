"""HTTP implementations of the ports to agents, targets and the log.

Each class implements a protocol of ``ports`` for the daemons.
"""

from collections.abc import Sequence
from typing import Final

import attrs
from expression import Error, Ok, Result
from treq.client import HTTPClient
from twisted.internet.defer import Deferred

from sequoiawind import defaults, messages, sse, wire
from sequoiawind.cache_index import CacheEvents, CacheList
from sequoiawind.http_client import EventCall, JsonClient
from sequoiawind.http_server import (
    JSON_TYPE,
    SECRET_HEADER,
)
from sequoiawind.options import Address
from sequoiawind.ports import LogPage, ResumableCall, Sink
from sequoiawind.verdict import Failure, Reason, may_have_run, not_run
from sequoiawind.wire import (
    Attempt,
    Ended,
    LoadReport,
    Probe,
    ProbeAnswer,
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

    def open(self, address: str, attempt: Attempt, sink: Sink) -> ResumableCall:
        """Open an attempt at the agent at an address."""
        call = AgentHttpCall(port=self, address=address, sink=sink)
        call.attempt_id = attempt.resume_of or attempt.attempt_id
        body = wire.encode(attempt)
        if len(body) > defaults.MAX_BODY_BYTES:
            # The agent would close the connection, which proves nothing.
            text = messages.ATTEMPT_TOO_LARGE
            call.refused(not_run(Reason.BODY_TOO_LARGE, text))
            return call
        call.stream = EventCall(
            client=self.client,
            url=f"http://{address}/attempts",
            body=body,
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

    def detach(self) -> None:
        """Close the connection; the agent keeps the attempt for a resume."""
        self.is_ended = True
        if self.stream is not None:
            self.stream.cancel()

    def cancel(self) -> None:
        """Cancel the attempt at the agent."""
        if self.is_ended:
            return
        self.detach()
        json_client = JsonClient(
            client=self.port.client, secret=self.port.secret
        )
        url = f"http://{self.address}/attempts/{self.attempt_id}/cancel"
        Deferred.fromCoroutine(json_client.call("POST", url, dict))


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
