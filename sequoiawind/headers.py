"""Headers of forwarded requests and the bounds on what callers send."""

import enum
from typing import Final

import attrs

from sequoiawind import defaults

# Names in lower case, in order of arrival.
Headers = list[tuple[bytes, bytes]]

DEFAULT_HEADER_BYTES: Final = 16_384
DEFAULT_HEADER_TIMEOUT_S: Final = 3.0
# Statuses whose answers never have a body.
BODILESS_STATUSES: Final = (204, 304)


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = defaults.MAX_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = defaults.IDLE_TIMEOUT_S

    def relaxed(self, other: "CallerLimits") -> "CallerLimits":
        """Return the least strict of these and of other limits, each."""
        if self == other:
            return self
        return CallerLimits(
            header_bytes=max(self.header_bytes, other.header_bytes),
            body_bytes=max(self.body_bytes, other.body_bytes),
            header_timeout_s=max(self.header_timeout_s, other.header_timeout_s),
            idle_timeout_s=max(self.idle_timeout_s, other.idle_timeout_s),
        )


class Framing(enum.Enum):
    """What marks the end of an answer's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    # The end of the connection, which may also be that of a broken answer.
    CONNECTION = "connection"


def framing(status: int, headers: Headers) -> Framing:
    """Return how the body of an answer is framed (RFC 9112, section 6.3).

    Args:
      status: The answer's status.
      headers: Its headers as received.
    """
    names = {name for name, _ in headers}
    if b"transfer-encoding" in names:
        return Framing.CHUNKS
    if b"content-length" in names or status in BODILESS_STATUSES:
        return Framing.LENGTH
    return Framing.CONNECTION


def passed_headers(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Return headers without the hop-by-hop ones.

    Args:
      headers: Headers as received.
      dropped: Names to leave out, besides those that a Connection header
        lists.
    """
    named = {
        name.strip().lower()
        for key, value in headers
        if key == b"connection"
        for name in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name not in dropped and name not in named
    ]
