"""Splitting a stream of server-sent events into complete events.

Only complete events are passed on, so that a stream that breaks inside an
event can be resumed at another target without a partial event in between.
"""

from typing import Final

import attrs

# The blank line that ends an event.
SEPARATOR: Final = b"\n\n"


@attrs.frozen(kw_only=True)
class Event:
    """A complete event as received."""

    data: bytes
    # The event's id; None if it has no numeric one.
    id: int | None


@attrs.define(kw_only=True)
class EventSplitter:
    """Buffers bytes and returns complete events."""

    # The beginning of an event that is not complete yet.
    rest: bytes = b""

    def take(self, data: bytes) -> list[Event]:
        """Add bytes; return the events that are complete with them."""
        *whole, self.rest = (self.rest + data).split(SEPARATOR)
        return [
            Event(data=item + SEPARATOR, id=event_id(item)) for item in whole
        ]


def event_id(event: bytes) -> int | None:
    """Return the id of an event; None if it has no numeric one."""
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
