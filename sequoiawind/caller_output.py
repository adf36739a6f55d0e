"""Back-pressure from a caller's connection to the connections of its targets.

A caller that reads more slowly than its target sends makes bytes pile up in
the router.  So the connections of the targets that answer it are not read
while too much is unsent towards the caller.
"""

from collections.abc import Callable
from typing import Any, Final, Protocol

import attrs
from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

from sequoiawind import sockets

# Unsent bytes towards a caller from which its targets' connections are paused.
# One more read of a target, of `sockets.READ_BYTES`, may already be on its way.
# A target cuts off an answer that stays unread for some seconds, so a small
# buffer, which drains soon, serves a slow caller better than a large one.
MAX_UNSENT_BYTES: Final = 32_768


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


@implementer(IPullProducer)
@attrs.define(kw_only=True, eq=False)
class CallerOutput:
    """What is unsent towards one caller; pauses the sources of its answer."""

    transport: Any
    # Called when all has been sent to a caller that was choked.
    on_drained: Callable[[], None]
    # Connections of the targets that answer the caller's current request.
    # There are several while a silent target competes with its successor.
    sources: list[AnswerSource] = attrs.field(factory=list)
    # Whether more is unsent than the caller may have, so that its sources are
    # paused.
    is_choked: bool = False

    def written(self) -> None:
        """Pause the sources if too much is unsent after a write."""
        if self.is_choked:
            return
        if sockets.unsent_bytes(self.transport) > MAX_UNSENT_BYTES:
            self.is_choked = True
            for source in self.sources:
                source.pause()
            # As a pull producer, this object is told when all is sent.
            self.transport.registerProducer(self, False)

    def attach(self, source: AnswerSource) -> None:
        """Pause a source while the caller is choked."""
        self.sources.append(source)
        if self.is_choked:
            source.pause()

    def detach(self, source: AnswerSource) -> None:
        """Forget a source from which no more is read for this caller."""
        if source in self.sources:
            self.sources.remove(source)

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the sources once all is sent.

        The transport also calls this when the producer is registered.
        """
        if self.is_choked and not sockets.has_unsent(self.transport):
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
        for source in list(self.sources):
            source.resume()
