"""Leases on the partitions of the store's topics."""

from typing import Final

import attrs
import msgspec
from expression import Error, Ok, Result

from sequoiawind import wire
from sequoiawind.platform.store import StoreClient
from sequoiawind.platform.store_pages import decode_era
from sequoiawind.verdict import Failure, Reason, may_have_run
from sequoiawind.weights_holder import Lease

JOIN: Final = "/api/log-join"
LEAVE: Final = "/api/log-leave"


class JoinRecord(msgspec.Struct):
    """A member's request to join a group, or to stay in it."""

    group: str
    member: str
    topics: list[str]
    ttl_ms: int
    # The last generation that the member received; 0 at first.
    generation: int


class LeaveRecord(msgspec.Struct):
    """A member's request to leave a group."""

    group: str
    member: str


class JoinedRecord(msgspec.Struct):
    """What a member of a group holds."""

    generation: int
    # Topic, partition and committed offset.
    parts: list[tuple[str, int, int]] = []


@attrs.define(kw_only=True)
class LeaseClient:
    """Joins groups of the store; implements `weights_holder.LeasePort`."""

    store: StoreClient

    async def join(
        self,
        group: str,
        member: str,
        topic: str,
        lease_s: float,
        generation: int,
        timeout_s: float,
    ) -> Result[Lease, Failure]:
        """Join a group, or renew the lease of a member."""
        record = JoinRecord(
            group=group,
            member=member,
            topics=[topic],
            ttl_ms=int(lease_s * 1000),
            generation=generation,
        )
        answered = await self.store.post(JOIN, record, timeout_s)
        if answered.is_error():
            return Error(answered.error)
        try:
            joined = wire.decode(answered.ok.body, JoinedRecord)
        except wire.WireError as error:
            return Error(may_have_run(Reason.TARGET_ERROR, str(error)))
        return Ok(
            Lease(
                era=decode_era(answered.ok.headers),
                generation=joined.generation,
                partitions=frozenset(
                    part for name, part, _ in joined.parts if name == topic
                ),
            )
        )

    async def leave(self, group: str, member: str, timeout_s: float) -> None:
        """Leave a group; if that fails, the lease ends by itself."""
        await self.store.post(
            LEAVE, LeaveRecord(group=group, member=member), timeout_s
        )
