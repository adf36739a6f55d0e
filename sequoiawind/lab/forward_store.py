"""Access of the processes of a soak to the modelled platform's store."""

from collections.abc import Sequence
from typing import Final

import attrs
from expression import Error, Ok, Result

from sequoiawind import timing
from sequoiawind.lab.forward_world import LATENCY_S, World
from sequoiawind.ports import Clock
from sequoiawind.record_ports import (
    Appended,
    KeyedPage,
    KeyedRecord,
    ReadFailure,
    RecordsLost,
)
from sequoiawind.verdict import Failure, Reason, not_run

CRASHES: Final = "crashes"
STORE_POLL_S: Final = 0.08
STORE_REFUSED: Final = not_run(Reason.LOG_UNAVAILABLE, "refused by the store")


@attrs.define(kw_only=True, eq=False)
class StorePort:
    """Access of one process to the store; implements `RecordPort`."""

    world: World
    node: str
    clock: Clock

    async def newest(
        self, topic: str, after: str, timeout_s: float
    ) -> Result[KeyedPage, ReadFailure]:
        """Return the newest record of each key."""
        await timing.sleep(self.clock, LATENCY_S)
        if self.node in self.world.refused_nodes:
            return Error(STORE_REFUSED)
        records = self.world.topics.get(topic, [])
        newest = {record.key: record for record in records}
        kept = [item for item in newest.values() if item.value is not None]
        return Ok(KeyedPage(records=kept, end=len(records)))

    async def read(
        self, topic: str, start: int, wait_s: float, timeout_s: float
    ) -> Result[KeyedPage, ReadFailure]:
        """Return the records from an offset on; wait up to `wait_s` for one."""
        ends_s = self.clock.seconds() + wait_s
        while True:
            await timing.sleep(self.clock, STORE_POLL_S)
            if self.node in self.world.refused_nodes:
                return Error(STORE_REFUSED)
            if self.world.has_lost_records:
                return Error(RecordsLost())
            records = self.world.topics.get(topic, [])
            if len(records) > start or self.clock.seconds() >= ends_s:
                return Ok(KeyedPage(records=records[start:], end=len(records)))


@attrs.define(kw_only=True, eq=False)
class CrashStore:
    """Access of one router to the topic of crashes; a `CrashPort`."""

    world: World
    node: str
    clock: Clock

    async def newest(
        self, after: str, timeout_s: float
    ) -> Result[KeyedPage, ReadFailure]:
        """Return the newest record of each key."""
        port = StorePort(world=self.world, node=self.node, clock=self.clock)
        return await port.newest(CRASHES, after, timeout_s)

    async def write(
        self,
        records: Sequence[KeyedRecord],
        timeout_s: float,
        at: int | None = None,
    ) -> Result[Appended, Failure]:
        """Append records, unless they are to be at another offset."""
        await timing.sleep(self.clock, LATENCY_S)
        topic = self.world.topics.setdefault(CRASHES, [])
        is_refused = self.node in self.world.refused_nodes
        if is_refused or at not in (None, len(topic)):
            return Error(STORE_REFUSED)
        offset = len(topic)
        for record in records:
            topic.append(attrs.evolve(record, stamp=(0, len(topic))))
        return Ok(Appended(offset=offset))
