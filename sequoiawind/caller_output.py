"""Back-pressure from a caller's connection to the connections of its targets.

A caller that reads more slowly than its target sends makes bytes pile up in
the router.  So the connections of the targets that answer it are not read
while too much is unsent towards the caller.  A caller that takes nothing at
all is ended before its target cuts the answer off, which would look like a
fault of the target.
"""

from collections.abc import Callable
from typing import Any, Final, Protocol

import attrs
from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

from sequoiawind import sockets
from sequoiawind.memory_budget import MemoryBudget
from sequoiawind.ports import Clock, Timer

# Unsent bytes towards a caller from which its targets' connections are paused.
# One more read of a target, of `sockets.READ_BYTES`, may already be on its way.
# A target cuts off an answer that stays unread for some seconds, so a small
# buffer, which drains soon, serves a slow caller better than a large one.
MAX_UNSENT_BYTES: Final = 32_768
# Time in which a caller must take something of what is held for it, and the
# time between two checks; in seconds.
MAX_STALL_S: Final = 2.0
STALL_CHECK_S: Final = 0.5
# While memory is scarce, a caller for which this process holds something must
# take so many bytes in that time: 8 kB a second, which any link carries.
SCARCE_PACE_BYTES: Final = 16_384
# Size up to which an answer that is held never waits for memory.
SMALL_ANSWER_BYTES: Final = 65_536


@attrs.frozen(kw_only=True)
class StalledCaller:
    """A caller whose connection was ended because it took nothing."""

    # Address of the caller, as host:port.
    peer: str
    # Bytes that were held for it, in this process and in the kernel.
    held_bytes: int
    # For how long it took nothing, in seconds.
    stalled_s: float


def ignore_stalled(caller: StalledCaller) -> None:
    """Ignore a caller that was ended."""


class AnswerSource(Protocol):
    """A target's connection, from which an answer is read."""

    def pause(self) -> None:
        """Read nothing more until `resume` is called."""

    def resume(self) -> None:
        """Read on."""


class AnswerFlow(Protocol):
    """The way of an answer to its caller, as the target's side knows it."""

    def attach(self, source: AnswerSource) -> None:
        """Pause a source while the caller is choked."""

    def detach(self, source: AnswerSource) -> None:
        """Forget a source from which no more is read for this caller."""

    def hold(self, size: int) -> bool:
        """Count a part of the answer that is held; return whether it fits."""

    def release(self, size: int) -> None:
        """Count a part of the answer as held no longer."""


@implementer(IPullProducer)
@attrs.define(kw_only=True, eq=False)
class CallerOutput:
    """What is unsent towards one caller; pauses the sources of its answer."""

    transport: Any
    clock: Clock
    budget: MemoryBudget
    # Called for a caller that is ended because it took nothing.
    on_stalled: Callable[[StalledCaller], None]
    # Called when all has been sent to a caller that was choked.
    on_drained: Callable[[], None]
    # Connections of the targets that answer the caller's current request.
    # There are several while a silent target competes with its successor.
    sources: list[AnswerSource] = attrs.field(factory=list)
    # Whether more is unsent than the caller may have, and whether its answer
    # waits for memory; its sources are paused then.
    is_choked: bool = False
    is_starved: bool = False
    # Bytes of its answer that are held whole.
    held_bytes: int = 0
    # Whether the process ends soon, so that all that targets have sent is taken
    # while there is memory for it.
    is_flushing: bool = False
    # Bytes of the request, and unsent ones, that are counted in the budget.
    request_bytes: int = 0
    unsent_bytes: int = 0
    # Whether the connection is lost.
    is_closed: bool = False
    # Bytes that were written to the transport.
    written_bytes: int = 0
    # Bytes that the caller had taken at the last check, and since when, in
    # seconds of the clock.
    taken_bytes: int = 0
    taken_s: float = 0.0
    # The same for the pace while memory is scarce.
    paced_bytes: int = 0
    paced_s: float = 0.0
    # The timer of the next check; None if all had been taken at the last one.
    timer: Timer | None = None

    @property
    def is_held_up(self) -> bool:
        """Whether the answer is not read from its targets."""
        return self.is_choked or self.is_starved

    def written(self, size: int) -> None:
        """Note a write of a size; pause the sources if too much is unsent."""
        self.written_bytes += size
        unsent = self.count_unsent()
        if self.timer is None:
            # A short answer, which the kernel takes whole, needs no count yet.
            self.taken_bytes = self.count_taken() if unsent else -1
            self.taken_s = self.paced_s = self.clock.seconds()
            self.paced_bytes = self.taken_bytes
            self.start_timer()
        if self.is_flushing and not self.budget.is_scarce:
            return
        max_unsent = 0 if self.budget.is_scarce else MAX_UNSENT_BYTES
        if not self.is_choked and unsent > max_unsent:
            self.is_choked = True
            self.pause_sources()
            # As a pull producer, this object is told when all is sent.
            self.transport.registerProducer(self, False)

    def count_unsent(self) -> int:
        """Return how much is unsent, and count it in the budget."""
        unsent = sockets.unsent_bytes(self.transport)
        if unsent != self.unsent_bytes:
            self.budget.add(unsent - self.unsent_bytes)
            self.unsent_bytes = unsent
        return unsent

    def flush(self) -> None:
        """Hold the sources up no longer, as the process ends soon."""
        self.is_flushing = True
        if not self.budget.is_scarce:
            self.end()

    # The memory of the request and its answer.

    def charge(self, size: int) -> None:
        """Count bytes of the request that have arrived."""
        self.request_bytes += size
        self.budget.add(size)

    def reserve(self, size: int) -> bool:
        """Count bytes of the body before they arrive, if they fit."""
        if not self.budget.reserve(size):
            return False
        self.request_bytes += size
        return True

    def free_request(self) -> None:
        """Count the request as held no longer."""
        self.budget.add(-self.request_bytes)
        self.request_bytes = 0

    def hold(self, size: int) -> bool:
        """Count a part of the answer that is held; return whether it fits.

        The answer waits if memory is short.  None may exceed the whole budget.
        """
        if self.held_bytes + size > self.budget.limit_bytes:
            return False
        self.held_bytes += size
        self.budget.add(size)
        if (
            self.held_bytes > SMALL_ANSWER_BYTES
            and not self.is_starved
            and not self.budget.may_read(self)
        ):
            self.is_starved = True
            self.pause_sources()
        return True

    def release(self, size: int) -> None:
        """Count a part of the answer as held no longer."""
        self.held_bytes -= size
        self.budget.add(-size)
        if not self.held_bytes:
            self.is_starved = False
            self.budget.ended(self)

    def read_on(self) -> None:
        """Read the answer on, as there is memory again."""
        self.is_starved = False
        self.resume_sources()

    def closed(self) -> None:
        """Free what is held for the caller, as its connection is lost.

        The request is kept while a call that may not be stopped halfway is
        still being sent to its target.
        """
        self.is_closed = True
        self.is_starved = False
        self.budget.ended(self)
        self.end()
        self.count_unsent()
        if not self.sources:
            self.free_request()

    # Callers that take nothing.

    def count_taken(self) -> int:
        """Return how many bytes the caller has taken."""
        return self.written_bytes - sockets.untaken_bytes(self.transport)

    def start_timer(self) -> None:
        """Start the timer of the next check.

        The checks go on while the connection is being closed, until the caller
        has taken all.
        """
        self.timer = self.clock.callLater(STALL_CHECK_S, self.check_stall)

    def check_stall(self) -> None:
        """End the connection of a caller that has taken nothing for too long.

        What the kernel holds counts too, as this also ends callers that have
        lost their power or their link.  The connection is aborted, so that
        an answer does not look complete.
        """
        self.timer = None
        self.count_unsent()
        untaken_bytes = sockets.untaken_bytes(self.transport)
        if untaken_bytes == 0:
            return
        now_s = self.clock.seconds()
        taken_bytes = self.written_bytes - untaken_bytes
        if taken_bytes != self.taken_bytes:
            self.taken_bytes, self.taken_s = taken_bytes, now_s
        if (
            taken_bytes - self.paced_bytes >= SCARCE_PACE_BYTES
            or not self.unsent_bytes
        ):
            self.paced_bytes, self.paced_s = taken_bytes, now_s
        is_slow = now_s - self.paced_s >= MAX_STALL_S
        if now_s - self.taken_s >= MAX_STALL_S or (
            is_slow and self.budget.is_scarce
        ):
            peer = self.transport.getPeer()
            self.on_stalled(
                StalledCaller(
                    peer=f"{peer.host}:{peer.port}",
                    held_bytes=untaken_bytes,
                    stalled_s=now_s - self.taken_s,
                )
            )
            self.transport.abortConnection()
            return
        self.start_timer()

    # Sources of the answer.

    def attach(self, source: AnswerSource) -> None:
        """Pause a source while the caller is choked."""
        self.sources.append(source)
        if self.is_held_up:
            source.pause()

    def detach(self, source: AnswerSource) -> None:
        """Forget a source from which no more is read for this caller."""
        if source in self.sources:
            self.sources.remove(source)
            if self.is_closed and not self.sources:
                self.free_request()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the sources once all is sent.

        The transport also calls this when the producer is registered.
        """
        if self.is_choked and not self.count_unsent():
            self.end()
            self.on_drained()

    def stopProducing(self) -> None:  # noqa: N802
        """Resume the sources, as the connection is lost."""
        self.end()

    def end(self) -> None:
        """Hold the sources up no longer.

        This must precede a close: a transport with a producer does not close.
        """
        if not self.is_choked:
            return
        self.is_choked = False
        self.transport.unregisterProducer()
        self.resume_sources()

    def pause_sources(self) -> None:
        """Read nothing more from the answer's targets."""
        for source in self.sources:
            source.pause()

    def resume_sources(self) -> None:
        """Read the answer on, unless something else holds it up."""
        if not self.is_held_up:
            for source in list(self.sources):
                source.resume()
