"""Headers of forwarded requests and the bounds on what callers send."""

from typing import Final

import attrs

from sequoiawind import defaults

# Names in lower case, in order of arrival.
Headers = list[tuple[bytes, bytes]]

DEFAULT_HEADER_BYTES: Final = 16_384
DEFAULT_HEADER_TIMEOUT_S: Final = 3.0


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = defaults.MAX_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = defaults.IDLE_TIMEOUT_S


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
