"""Parser of callers' requests with a limit on heads that may change.

`h11` takes its limit once for a connection, and applies it only to a head that
arrives in several pieces.  Here each head is held to the limit on its request,
however it arrives.
"""

from collections.abc import Callable
from typing import Any, Final

import h11
from h11._receivebuffer import ReceiveBuffer

# Above any limit on heads, so that the limit here applies first.
MAX_EVENT_BYTES: Final = 1 << 30
HEADER_FIELDS_TOO_LARGE: Final = 431


class HeadTooLarge(h11.RemoteProtocolError):
    """A head, or the framing of a chunk, is larger than the limit."""

    def __init__(self) -> None:
        """Set the status of the answer."""
        super().__init__("head too large", HEADER_FIELDS_TOO_LARGE)


class CallerParser(h11.Connection):
    """Parses the requests of one connection."""

    def __init__(self, max_head_bytes: Callable[[], int]) -> None:
        """Store a function that returns the limit on the current request."""
        super().__init__(h11.SERVER, max_incomplete_event_size=MAX_EVENT_BYTES)
        self.max_head_bytes = max_head_bytes
        # Bytes received since the first one of the current request.
        self.request_bytes = 0

    @property
    def unparsed_bytes(self) -> int:
        """Number of bytes that were received and not parsed yet."""
        # `trailing_data` would copy them.
        return len(self._receive_buffer)

    @property
    def has_whole_request(self) -> bool:
        """Whether the bytes that were not parsed yet hold a whole request."""
        ahead = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_EVENT_BYTES
        )
        ahead.receive_data(self.trailing_data[0])
        try:
            event = ahead.next_event()
            while isinstance(event, (h11.Request, h11.Data)):
                event = ahead.next_event()
        except h11.RemoteProtocolError:
            return False
        return isinstance(event, h11.EndOfMessage)

    def forget(self) -> None:
        """Free what was received, as the connection is lost.

        Ended connections stay in memory for a while.
        """
        self._receive_buffer = ReceiveBuffer()

    def begin_request(self) -> None:
        """Count the bytes of a request, of which some may be there already."""
        self.request_bytes = self.unparsed_bytes

    def receive_data(self, data: bytes) -> None:
        """Take bytes of the current request."""
        self.request_bytes += len(data)
        super().receive_data(data)

    def next_event(self) -> Any:
        """Return the next event.

        Raises:
          HeadTooLarge: A head or a chunk's framing is larger than the limit.
          h11.RemoteProtocolError: The caller's bytes are no valid request.
        """
        event = super().next_event()
        if isinstance(event, h11.Request):
            head_bytes = self.request_bytes - self.unparsed_bytes
            if head_bytes > self.max_head_bytes():
                raise HeadTooLarge
        elif event is h11.NEED_DATA:
            unparsed_bytes = self.unparsed_bytes
            if unparsed_bytes and unparsed_bytes > self.max_head_bytes():
                raise HeadTooLarge
        return event
