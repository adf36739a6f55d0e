"""Refusals of requests that were not read to their end."""

from typing import Final

import h11

from sequoiawind import defaults, memory_budget
from sequoiawind.headers import Headers
from sequoiawind.verdict import DEFAULT_HTTP_STATUS, HTTP_STATUS, Reason

# Reasons that depend on the limits in the configuration.
CONFIGURED_LIMITS: Final = frozenset(
    {Reason.HEAD_TOO_LARGE, Reason.BODY_TOO_LARGE}
)
# Retry-After by reason, in seconds.
RETRY_AFTER_S: Final = {
    Reason.MEMORY_LIMIT: memory_budget.RETRY_AFTER_S,
    Reason.CONFIG_STALE: defaults.CONFIG_RETRY_AFTER_S,
    Reason.SHUTTING_DOWN: defaults.ELSEWHERE_RETRY_AFTER_S,
}


def provable(reason: Reason, is_current: bool) -> Reason:
    """Return the reason to give for a refusal.

    Args:
      reason: Why the request is refused.
      is_current: Whether the configuration is surely not out of date.  A limit
        may have been raised since, otherwise.
    """
    if reason in CONFIGURED_LIMITS and not is_current:
        return Reason.CONFIG_STALE
    return reason


def response(status: int, headers: Headers) -> h11.Response:
    """Return the head of an answer without a body that ends a connection."""
    return h11.Response(
        status_code=status,
        headers=[
            *headers,
            (b"content-length", b"0"),
            (b"connection", b"close"),
        ],
    )


def status_and_headers(reason: Reason) -> tuple[int, Headers]:
    """Return the status and headers of a refusal for a reason."""
    headers: Headers = []
    if reason in RETRY_AFTER_S:
        headers.append((b"retry-after", b"%.3f" % RETRY_AFTER_S[reason]))
    return HTTP_STATUS.get(reason, DEFAULT_HTTP_STATUS), headers
