"""Server-sent events: the subset that answers use.

Source: WHATWG HTML, section "Server-sent events".  The ``id`` field carries
the attempt and the chunk's index, so that relays need not parse the data.
"""

from collections.abc import Iterator
from typing import Final

import attrs

from sequoiawind import defaults

END: Final = b"\n\n"
CONTENT_TYPE: Final = "text/event-stream"


class SseError(ValueError):
    """An event stream that does not have the expected form."""


@attrs.define(kw_only=True)
class Event:
    """One event; not frozen, to keep the creation of one per chunk cheap."""

    name: bytes = b""
    id: bytes = b""
    data: bytes = b""


def chunk_event(attempt_id: str, index: int, data: bytes) -> bytes:
    """Return the event that carries a chunk between daemons."""
    return b"id: %s:%d\ndata: %s\n\n" % (attempt_id.encode(), index, data)


def named_event(name: bytes, data: bytes) -> bytes:
    """Return an event with a name."""
    return b"event: %s\ndata: %s\n\n" % (name, data)


def data_event(data: bytes) -> bytes:
    """Return an event that carries only data, in the form sent to callers."""
    return b"data: " + data + END


def chunk_id(event: Event) -> tuple[str, int]:
    """Return the attempt and index in an event's id.

    Raises:
      SseError: The id has another form.
    """
    attempt_id, _, index = event.id.partition(b":")
    if not index.isdigit():
        raise SseError(f"malformed event id {event.id!r}")
    return attempt_id.decode("ascii", "replace"), int(index)


@attrs.define(kw_only=True)
class EventReader:
    """Splits a byte stream into events."""

    rest: bytes = b""
    max_bytes: int = defaults.MAX_BODY_BYTES

    def feed(self, data: bytes) -> Iterator[Event]:
        """Yield the events that the data completes; buffer the remainder.

        Raises:
          SseError: An event is longer than allowed.
        """
        parts = (self.rest + data).split(END)
        self.rest = parts.pop()
        if len(self.rest) > self.max_bytes:
            raise SseError("event too long")
        for part in parts:
            event = parse_event(part)
            # The standard drops events without data, such as comments.
            if event.data:
                yield event


def parse_event(text: bytes) -> Event:
    """Return the event that a block of lines encodes."""
    if text.startswith(b"id: "):
        # Fast path for nearly all events: an id and one line of data.
        head, _, data = text.partition(b"\ndata: ")
        if data and b"\n" not in data and b"\n" not in head:
            return Event(id=head[4:], data=data)
    name = event_id = data = b""
    for line in text.split(b"\n"):
        field, _, value = line.partition(b": ")
        if field == b"data":
            data = value
        elif field == b"id":
            event_id = value
        elif field == b"event":
            name = value
    return Event(name=name, id=event_id, data=data)
