"""A simulated append-only log of the platform: a stand-in for tests.

It has streams with offsets, limited retention and a cap on appends per
second.  Its faults are outages, slow answers, and answers that are lost after
the write took effect.
"""

import random
from collections.abc import Callable, Sequence
from functools import partial
from typing import TypeVar

import attrs
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred

from sequoiawind import defaults
from sequoiawind.ports import Clock, LogPage, LogRecord
from sequoiawind.verdict import Failure, Reason, may_have_run, not_run

T = TypeVar("T")


@attrs.define(kw_only=True)
class LogStream:
    """The records of one stream within the retention."""

    # Offset of the first of these records.
    first: int = 0
    records: list[LogRecord] = attrs.field(factory=list)

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)


@attrs.define(kw_only=True)
class LogModel:
    """The simulated log; its faults are set through its attributes."""

    clock: Clock
    random: random.Random
    retention_s: float = defaults.LOG_RETENTION_S
    appends_per_s: float = 300.0
    # Added to the clock's time for a record's time since the epoch, in seconds.
    epoch_s: float = 0.0
    is_down: bool = False
    # Delay of every answer, in seconds.
    latency_s: float = 0.002
    # Share of appends whose answer is lost after they took effect.
    lost_answers: float = 0.0
    streams: dict[str, LogStream] = attrs.field(factory=dict)
    appends: int = 0
    reads: int = 0
    # Token bucket of the cap on appends, and when it was last filled.
    tokens: float = 300.0
    tokens_at_s: float = 0.0

    def append(
        self, stream: str, records: Sequence[str]
    ) -> Deferred[Result[int, Failure]]:
        """Append records; fails during an outage or over the cap."""
        return self.after_latency(
            partial(self.append_now, stream, list(records))
        )

    def read(
        self, stream: str, start: int, limit: int
    ) -> Deferred[Result[LogPage, Failure]]:
        """Read records from an offset on."""
        return self.after_latency(partial(self.read_now, stream, start, limit))

    def after_latency(
        self, action: Callable[[], Result[T, Failure]]
    ) -> Deferred[Result[T, Failure]]:
        """Run an action after the log's latency and return its result."""
        done: Deferred[Result[T, Failure]] = Deferred()

        def act() -> None:
            if not done.called:
                done.callback(action())

        self.clock.callLater(self.latency_s, act)
        return done

    def append_now(
        self, stream: str, records: list[str]
    ) -> Result[int, Failure]:
        """Append records without latency; return the first one's offset."""
        if self.is_down:
            return Error(may_have_run(Reason.LOG_UNAVAILABLE, "outage"))
        if not self.take_token():
            return Error(not_run(Reason.LOG_UNAVAILABLE, "throttled", 1.0))
        log_stream = self.stream(stream)
        offset = log_stream.end
        time_s = self.epoch_s + self.clock.seconds()
        for position, data in enumerate(records):
            log_stream.records.append(
                LogRecord(offset=offset + position, time_s=time_s, data=data)
            )
        self.appends += 1
        if self.random.random() < self.lost_answers:
            return Error(may_have_run(Reason.LOG_UNAVAILABLE, "answer lost"))
        return Ok(offset)

    def take_token(self) -> bool:
        """Take a token of the append cap; return whether there was one."""
        now_s = self.clock.seconds()
        gained = (now_s - self.tokens_at_s) * self.appends_per_s
        self.tokens = min(self.appends_per_s, self.tokens + gained)
        self.tokens_at_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def read_now(
        self, stream: str, start: int, limit: int
    ) -> Result[LogPage, Failure]:
        """Read records without latency."""
        if self.is_down:
            return Error(not_run(Reason.LOG_UNAVAILABLE, "outage"))
        self.reads += 1
        log_stream = self.stream(stream)
        self.expire(log_stream)
        position = max(0, start - log_stream.first)
        return Ok(
            LogPage(
                records=log_stream.records[position : position + limit],
                first=log_stream.first,
                end=log_stream.end,
            )
        )

    def stream(self, name: str) -> LogStream:
        """Return a stream; it is created on first use."""
        return self.streams.setdefault(name, LogStream())

    def expire(self, log_stream: LogStream) -> None:
        """Drop the records that are older than the retention."""
        oldest_s = self.epoch_s + self.clock.seconds() - self.retention_s
        count = 0
        while count < len(log_stream.records) and (
            log_stream.records[count].time_s < oldest_s
        ):
            count += 1
        if count:
            del log_stream.records[:count]
            log_stream.first += count
