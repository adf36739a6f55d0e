"""Interfaces between the decision code and the transports.

Routers and agents are written against these protocols.  The daemons pass in
HTTP clients; tests, the soak run and the experiments pass in-memory ones on
a virtual clock.
"""

from collections.abc import Callable, Sequence
from typing import Any, Protocol

import attrs
from expression import Result
from twisted.internet.defer import Deferred

from sequoiawind.cache_index import CacheEvents, CacheList
from sequoiawind.verdict import Failure
from sequoiawind.wire import (
    Attempt,
    Ended,
    LoadReport,
    Probe,
    ProbeAnswer,
)


class Sink(Protocol):
    """Receives the events of an attempt; ``ended`` is called exactly once."""

    def started(self, load: LoadReport) -> None:
        """The attempt has been admitted."""

    def chunk(self, attempt_id: str, index: int, data: bytes) -> None:
        """A chunk of the answer has arrived."""

    def ended(self, ended: Ended) -> None:
        """The attempt is over; nothing follows."""


class Call(Protocol):
    """An attempt in progress."""

    def cancel(self) -> None:
        """Stop the attempt; nothing more is delivered."""


class TargetPort(Protocol):
    """Opens attempts: at agents for a router, at targets for an agent."""

    def open(self, address: str, attempt: Attempt, sink: Sink) -> Call:
        """Start an attempt and deliver its events to the sink."""


class ResumableCall(Call, Protocol):
    """An attempt in progress at an agent."""

    def detach(self) -> None:
        """Close the connection; the agent keeps the attempt for a resume.

        Nothing more is delivered.
        """


class ResumablePort(Protocol):
    """Opens attempts at agents, which can resume them."""

    def open(self, address: str, attempt: Attempt, sink: Sink) -> ResumableCall:
        """Start an attempt and deliver its events to the sink."""


class ProbePort(Protocol):
    """Queries agents for how soon a request could start."""

    def probe(
        self, address: str, probe: Probe
    ) -> Deferred[Result[ProbeAnswer, Failure]]:
        """Send a probe to the agent at an address."""


@attrs.frozen(kw_only=True)
class LogRecord:
    """A record read from the log."""

    offset: int
    # When the log stored it, in seconds since the epoch.
    time_s: float
    data: str


@attrs.frozen(kw_only=True)
class LogPage:
    """Consecutive records of one stream."""

    records: list[LogRecord]
    # Offset of the oldest record kept.
    first: int
    # Offset that the next append will get.
    end: int


class LogPort(Protocol):
    """The platform's append-only log."""

    def append(
        self, stream: str, records: Sequence[str]
    ) -> Deferred[Result[int, Failure]]:
        """Append records; return the offset of the first.

        The failure's verdict says whether the append may have taken effect.
        """

    def read(
        self, stream: str, start: int, limit: int
    ) -> Deferred[Result[LogPage, Failure]]:
        """Read up to ``limit`` records from offset ``start`` on."""


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""

    def active(self) -> bool:
        """Whether the call is still pending."""


class Clock(Protocol):
    """The part of a reactor that the decision code uses."""

    def seconds(self) -> float:
        """Return the monotonic time in seconds."""

    def callLater(  # noqa: N802
        self,
        delay: float,
        callable: Callable[..., object],
        *args: object,
        **kw: object,
    ) -> Any:
        """Call a function after a delay in seconds; returns a `Timer`."""


class EnginePort(Protocol):
    """Requests of an agent to its engine, other than attempts."""

    def events_from(
        self, sequence: int
    ) -> Deferred[Result[CacheEvents, Failure]]:
        """Return the cache events from a sequence number on."""

    def cache_list(self) -> Deferred[Result[CacheList, Failure]]:
        """Return all cached blocks."""

    def load(self) -> Deferred[Result[LoadReport, Failure]]:
        """Return the engine's own load report."""

    def order_version(
        self, version: str, fencing: int
    ) -> Deferred[Result[bool, Failure]]:
        """Order the engine to load a weights version.

        Args:
          version: The version.
          fencing: The fencing number of the order.

        Returns:
          Whether the engine accepted the order.
        """
