"""Appends records to the log in batches, and retries from an outbox.

The log accepts a few hundred appends a second, so records that arrive while an
append is in progress are sent together in the next one.  The outbox holds
records that must eventually reach the log, such as releases and outcomes, and
retries until the log has accepted them; they are idempotent.
"""

import random

import attrs
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred

from sequoiawind import defaults, messages, timing
from sequoiawind.ports import Clock, LogPort
from sequoiawind.verdict import Failure, Reason, not_run

AppendResult = Result[int, Failure]


@attrs.define(kw_only=True)
class PendingRecord:
    """A record that waits to be appended."""

    data: str
    done: Deferred[AppendResult]


@attrs.define(kw_only=True)
class GroupAppender:
    """Appends to one stream, one append at a time."""

    log: LogPort
    stream: str
    queue: list[PendingRecord] = attrs.field(factory=list)
    is_busy: bool = False

    def append(self, data: str) -> Deferred[AppendResult]:
        """Append a record; the result holds its offset."""
        done: Deferred[AppendResult] = Deferred()
        if len(self.queue) >= defaults.MAX_PENDING_RECORDS:
            full = not_run(Reason.LOG_UNAVAILABLE, messages.LOG_UNAVAILABLE)
            done.callback(Error(full))
            return done
        self.queue.append(PendingRecord(data=data, done=done))
        if not self.is_busy:
            self.flush()
        return done

    def flush(self) -> None:
        """Start the append of the next batch, if there is one."""
        if not self.queue:
            return
        self.is_busy = True
        batch = self.queue[: defaults.MAX_RECORDS_PER_APPEND]
        del self.queue[: len(batch)]
        records = [record.data for record in batch]
        self.log.append(self.stream, records).addCallback(self.finish, batch)

    def finish(self, result: AppendResult, batch: list[PendingRecord]) -> None:
        """Pass on the result for each record and append the next batch."""
        self.is_busy = False
        for position, record in enumerate(batch):
            if result.is_ok():
                record.done.callback(Ok(result.ok + position))
            else:
                record.done.callback(Error(result.error))
        if not self.is_busy:
            self.flush()


@attrs.define(kw_only=True)
class Outbox:
    """Retries records of one stream until the log has accepted them."""

    appender: GroupAppender
    clock: Clock
    random: random.Random
    # Number of records that the log has not accepted yet.
    pending: int = 0

    async def put(self, data: str) -> None:
        """Append a record, retrying until the log has accepted it."""
        self.pending += 1
        try:
            while (await self.appender.append(data)).is_error():
                pause_s = timing.jittered(
                    defaults.OUTBOX_RETRY_S, 0.5, self.random
                )
                await timing.sleep(self.clock, pause_s)
        finally:
            self.pending -= 1
