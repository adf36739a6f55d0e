"""Streams that callers take up again, on a new connection.

Such a stream goes on at a target whose software version began it, in the pool
that began it; a caller may come to a router that knows neither yet.
"""

from functools import partial
from typing import TYPE_CHECKING

import attrs
from expression import Ok, Result
from twisted.internet.defer import Deferred

from sequoiawind.forward_plan import ForwardPlan
from sequoiawind.forward_state import ForwardPool
from sequoiawind.state import State
from sequoiawind.stream_origins import StreamOrigin
from sequoiawind.verdict import Failure

if TYPE_CHECKING:
    from sequoiawind.forwarding import Forwarding


def start(forwarding: "Forwarding") -> None:
    """Continue a stream where it began; look that up if it is unknown."""
    origins = forwarding.forwarder.origins
    request, pool = forwarding.plan.request, forwarding.plan.pool.name
    known = origins.known(request.resumes, pool)
    if known is not None:
        origin_found(forwarding, Ok(known))
        return
    finding = origins.find(request.resumes, pool)
    Deferred.fromCoroutine(finding).addCallback(
        partial(origin_found, forwarding)
    )


def origin_found(
    forwarding: "Forwarding", found: Result[StreamOrigin, Failure]
) -> None:
    """Send the request to a target that may continue its stream."""
    if forwarding.is_finished:
        return
    forwarding.forwarder.on_reconnect(forwarding, found)
    if found.is_error():
        forwarding.give_up(found.error)
        return
    forwarding.origin = found.ok
    forwarding.plan = with_pool_of_origin(
        forwarding.plan, found.ok, forwarding.forwarder.board.state
    )
    forwarding.next_target()


def with_pool_of_origin(
    plan: ForwardPlan, origin: StreamOrigin | None, state: State
) -> ForwardPlan:
    """Return a plan with the pool that began the stream, if it may be.

    It may not if the route no longer gives that pool a part of its requests.
    """
    if origin is None:
        return plan
    pool = state.pools.get(origin.pool)
    shares = {share.pool for share in plan.route.shares if share.weight > 0.0}
    if origin.pool not in shares or not isinstance(pool, ForwardPool):
        return plan
    return attrs.evolve(plan, pool=pool)
