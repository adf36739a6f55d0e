"""A caller's request as it arrived."""

import attrs

from sequoiawind.caller_output import AnswerFlow
from sequoiawind.headers import Headers


@attrs.frozen(kw_only=True)
class HttpRequest:
    """A complete request as it arrived."""

    method: bytes
    # Path and query, undecoded.
    request_target: bytes
    # Names in lower case.
    headers: Headers
    body: bytes
    # Arrival of its first byte, and of its last one, in seconds of the clock.
    arrived_s: float
    read_s: float
    # The way of the answer; None for a request that no connection has brought.
    flow: AnswerFlow | None = attrs.field(default=None, eq=False, repr=False)

    def header(self, name: bytes) -> bytes:
        """Return a header's first value; empty if there is none."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""
