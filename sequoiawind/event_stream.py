"""Cutting a stream of server-sent events into whole events.

Only whole events are passed on, so that a stream that breaks inside an event
can go on at another target without a seam.
"""

from typing import Final

import attrs

# The blank line that ends an event.
SEPARATOR: Final = b"\n\n"


@attrs.frozen(kw_only=True)
class Event:
    """A whole event as it came."""

    data: bytes
    # Its id; None if it has none that is a number.
    id: int | None


@attrs.define(kw_only=True)
class EventCutter:
    """Collects bytes and gives out the events that are whole."""

    rest: bytes = b""

    def take(self, data: bytes) -> list[Event]:
        """Return the events that more bytes complete."""
        *whole, self.rest = (self.rest + data).split(SEPARATOR)
        return [
            Event(data=item + SEPARATOR, id=event_id(item)) for item in whole
        ]


def event_id(event: bytes) -> int | None:
    """Return the id of an event; None if it has none that is a number."""
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
