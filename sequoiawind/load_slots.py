"""Slots that limit how many targets of a pool load weights concurrently.

A target joins a queue on the log; the first targets of the queue may load.
Positions only move forward, so a process that acts on an older state never
loads too early.  A target leaves the queue when it serves the version, or
when an operator deletes it; a load that hangs keeps its slot, and operators
see it as pending.
"""

from typing import Final

import attrs
from expression import Result

from sequoiawind import defaults, wire
from sequoiawind.ports import LogPort
from sequoiawind.state import State
from sequoiawind.verdict import Failure

STREAM_PREFIX: Final = "orders-"


@attrs.frozen(kw_only=True)
class SlotRecord:
    """A record of a pool's queue."""

    # "want" joins the queue, "done" leaves it.
    verb: str
    target: str
    v: int = defaults.RECORD_VERSION


@attrs.define(kw_only=True)
class SlotQueue:
    """The fold of a pool's stream: the queue of targets that are to load."""

    next_offset: int = 0
    # In the order in which they joined.
    targets: list[str] = attrs.field(factory=list)

    def fold(self, offset: int, data: str) -> None:
        """Apply the next record; skip one that cannot be decoded."""
        self.next_offset = offset + 1
        try:
            record = wire.decode(data, SlotRecord)
        except wire.WireError:
            return
        if record.v != defaults.RECORD_VERSION:
            return
        if record.verb == "want" and record.target not in self.targets:
            self.targets.append(record.target)
        if record.verb == "done" and record.target in self.targets:
            self.targets.remove(record.target)

    def may_load(self, target: str, state: State, slots: int) -> bool:
        """Whether a target is among the first `slots` of the queue.

        Targets that are no longer in the configuration do not count.
        """
        waiting = [name for name in self.targets if name in state.targets]
        return target in waiting[:slots]


@attrs.define(kw_only=True)
class LoadSlots:
    """Joins and leaves the queue of a pool for one target."""

    log: LogPort
    target: str
    queue: SlotQueue = attrs.field(factory=SlotQueue)
    stream: str = ""

    def select_pool(self, pool: str) -> None:
        """Use the queue of a pool; start with an empty one if it is new."""
        stream = f"{STREAM_PREFIX}{pool}"
        if stream != self.stream:
            self.stream = stream
            self.queue = SlotQueue()

    async def acquire(self, pool: str, state: State, slots: int) -> bool:
        """Join the queue if needed; return whether the target may load now."""
        self.select_pool(pool)
        if (await self.catch_up()).is_error():
            return False
        if self.target not in self.queue.targets:
            await self.append("want")
            if (await self.catch_up()).is_error():
                return False
        return self.queue.may_load(self.target, state, slots)

    async def release(self, pool: str) -> None:
        """Leave the queue, because the target serves the ordered version."""
        self.select_pool(pool)
        if (await self.catch_up()).is_error():
            return
        if self.target in self.queue.targets:
            await self.append("done")

    async def append(self, verb: str) -> None:
        """Append a record; a repeated one has no effect."""
        record = SlotRecord(verb=verb, target=self.target)
        await self.log.append(self.stream, [wire.encode(record).decode()])

    async def catch_up(self) -> Result[int, Failure]:
        """Fold the pool's stream up to its end in the log."""
        while True:
            page = await self.log.read(
                self.stream, self.queue.next_offset, defaults.READ_LIMIT
            )
            if page.is_error():
                return Result.Error(page.error)
            for record in page.ok.records:
                if record.offset >= self.queue.next_offset:
                    self.queue.fold(record.offset, record.data)
            self.queue.next_offset = max(self.queue.next_offset, page.ok.first)
            if self.queue.next_offset >= page.ok.end:
                return Result.Ok(self.queue.next_offset)
