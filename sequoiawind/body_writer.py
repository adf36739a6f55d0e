"""Sending a large body in pieces, no faster than its receiver reads."""

from collections.abc import Callable
from typing import Any, Final

import attrs
from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

# Size of a piece, in bytes; a smaller body is sent whole.
PIECE_BYTES: Final = 65_536


@implementer(IPullProducer)
@attrs.define(kw_only=True, eq=False)
class BodyWriter:
    """Writes a piece each time that the transport has sent the last one."""

    transport: Any
    # What is left of the body; empty once all is written, which frees it.
    rest: memoryview
    # Returns the bytes by which a piece is framed.
    frame: Callable[[bytes], bytes]
    # Called when all is written.
    on_written: Callable[[], None]
    # How much is written, in bytes.
    sent_bytes: int = 0

    def start(self) -> None:
        """Write the first piece; the transport asks for the others."""
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the next piece."""
        piece = bytes(self.rest[:PIECE_BYTES])
        self.rest = self.rest[PIECE_BYTES:]
        self.sent_bytes += len(piece)
        self.transport.write(self.frame(piece))
        if not self.rest:
            self.rest = memoryview(b"")
            self.transport.unregisterProducer()
            self.on_written()

    def stopProducing(self) -> None:  # noqa: N802
        """Free the body, as the connection is lost."""
        self.rest = memoryview(b"")
