"""Appending to the log: many records in one append, and an outbox.

The log takes a few hundred appends a second, so records that are waiting
while an append is under way go together in the next one.  The outbox holds
records that must reach the log in the end, such as releases and outcomes,
and tries again until the log has taken them; they are idempotent.
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
class Waiting:
    """A record that waits for its append."""

    data: str
    done: Deferred[AppendResult]


@attrs.define(kw_only=True)
class GroupAppender:
    """Appends to one stream, one append at a time."""

    log: LogPort
    stream: str
    queue: list[Waiting] = attrs.field(factory=list)
    is_busy: bool = False

    def append(self, data: str) -> Deferred[AppendResult]:
        """Append a record; the result holds its offset."""
        done: Deferred[AppendResult] = Deferred()
        if len(self.queue) >= defaults.MAX_OUTBOX:
            full = not_run(Reason.LOG_UNAVAILABLE, messages.LOG_UNAVAILABLE)
            done.callback(Error(full))
            return done
        self.queue.append(Waiting(data=data, done=done))
        if not self.is_busy:
            self.flush()
        return done

    def flush(self) -> None:
        """Start the append of what waits."""
        if not self.queue:
            return
        self.is_busy = True
        batch = self.queue[: defaults.MAX_RECORDS_PER_APPEND]
        del self.queue[: len(batch)]
        records = [waiting.data for waiting in batch]
        self.log.append(self.stream, records).addCallback(self.finish, batch)

    def finish(self, result: AppendResult, batch: list[Waiting]) -> None:
        """Tell each record's sender and go on with the next batch."""
        self.is_busy = False
        for position, waiting in enumerate(batch):
            if result.is_ok():
                waiting.done.callback(Ok(result.ok + position))
            else:
                waiting.done.callback(Error(result.error))
        if not self.is_busy:
            self.flush()


@attrs.define(kw_only=True)
class Outbox:
    """Records of one stream that are appended until the log takes them."""

    appender: GroupAppender
    clock: Clock
    random: random.Random
    # Records not yet taken by the log.
    pending: int = 0

    async def put(self, data: str) -> None:
        """Append a record, trying again until the log has it."""
        self.pending += 1
        try:
            while (await self.appender.append(data)).is_error():
                pause_s = timing.jittered(
                    defaults.OUTBOX_RETRY_S, 0.5, self.random
                )
                await timing.sleep(self.clock, pause_s)
        finally:
            self.pending -= 1
