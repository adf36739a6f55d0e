"""Splitting a stream of server-sent events into complete events.

Only complete events are passed on, so that a stream that breaks inside an
event can be resumed at another target without a partial event in between.
"""

import re
from typing import Final

import attrs

# The end of an event's last line, and the blank line that ends the event.
EVENT_END: Final = re.compile(rb"\r?\n\r?\n")


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

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and is not complete yet."""
        return bool(self.rest.strip(b"\r\n"))

    def take(self, data: bytes) -> list[Event]:
        """Add bytes; return the events that are complete with them."""
        buffered = self.rest + data
        events, start = [], 0
        for end in EVENT_END.finditer(buffered):
            event = buffered[start : end.end()]
            events.append(Event(data=event, id=event_id(event)))
            start = end.end()
        self.rest = buffered[start:]
        return events


def event_id(event: bytes) -> int | None:
    """Return the id of an event; None if it has no numeric one."""
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
