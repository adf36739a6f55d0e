"""Outcomes of a request: whether it may have run, and why it stopped.

Every hop reports a :class:`Verdict`.  A hop that cannot prove that a request
was not run reports ``MAY_HAVE_RUN``; only a ``NOT_RUN`` request may be sent to
another target whatever its kind.
"""

import enum
from typing import Final

import attrs


class Verdict(enum.Enum):
    """Whether a request has taken effect at its target."""

    DONE = "done"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Reason(enum.Enum):
    """Why a request was refused or an attempt was retried.

    Each member is a label of the refusal and retry counters.
    """

    # Faults of the caller's request.
    BAD_REQUEST = "bad_request"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TIMEOUT = "body_timeout"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NO_ROUTE = "no_route"
    KEY_MISSING = "key_missing"
    KEY_MALFORMED = "key_malformed"
    KEY_TOO_OLD = "key_too_old"
    KEY_IN_FUTURE = "key_in_future"
    KEY_REUSED = "key_reused"
    # Limits.
    RATE_LIMIT = "rate_limit"
    CONCURRENCY_LIMIT = "concurrency_limit"
    QUEUE_FULL = "queue_full"
    QUEUE_TOO_LONG = "queue_too_long"
    COSTLY = "costly"
    RETRY_BUDGET = "retry_budget"
    # State of the system.
    NO_CONFIGURATION = "no_configuration"
    CONFIG_STALE = "config_stale"
    SCOPE_CHANGED = "scope_changed"
    WEIGHTS_REPLACED = "weights_replaced"
    NO_TARGET = "no_target"
    NO_TARGET_IN_TIME = "no_target_in_time"
    TARGET_BUSY = "target_busy"
    TARGET_REPLACED = "target_replaced"
    MAX_TARGETS = "max_targets"
    DRAINING = "draining"
    ORIGIN_UNKNOWN = "origin_unknown"
    BLOCKED_PART = "blocked_part"
    BLOCKED_REQUEST = "blocked_request"
    TARGET_LIMIT = "target_limit"
    OVERLOADED = "overloaded"
    MEMORY_LIMIT = "memory_limit"
    DESCRIPTORS = "descriptors"
    SHUTTING_DOWN = "shutting_down"
    WRONG_WEIGHTS = "wrong_weights"
    LOG_UNAVAILABLE = "log_unavailable"
    CLAIM_OPEN = "claim_open"
    CLAIM_EXPIRED = "claim_expired"
    # Failures of calls.
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    START_TIMEOUT = "start_timeout"
    CHUNK_TIMEOUT = "chunk_timeout"
    CHUNK_MISSING = "chunk_missing"
    TARGET_ERROR = "target_error"
    TARGET_LOST = "target_lost"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    SETTLED = "settled"
    INTERNAL_ERROR = "internal_error"


# HTTP status returned for each reason; `DEFAULT_HTTP_STATUS` where absent.
HTTP_STATUS: Final[dict[Reason, int]] = {
    Reason.BAD_REQUEST: 400,
    Reason.HEAD_TOO_LARGE: 431,
    Reason.BODY_TOO_LARGE: 413,
    Reason.BODY_TIMEOUT: 408,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.NO_ROUTE: 404,
    Reason.KEY_MISSING: 400,
    Reason.KEY_MALFORMED: 400,
    Reason.KEY_TOO_OLD: 400,
    Reason.KEY_IN_FUTURE: 400,
    Reason.KEY_REUSED: 422,
    Reason.RATE_LIMIT: 429,
    Reason.CONCURRENCY_LIMIT: 429,
    Reason.CLAIM_OPEN: 409,
    Reason.SETTLED: 409,
    Reason.CONNECTION_LOST: 502,
    Reason.TARGET_ERROR: 502,
    Reason.TARGET_LOST: 502,
    Reason.CHUNK_MISSING: 502,
    Reason.CHUNK_TIMEOUT: 504,
    Reason.DEADLINE: 504,
    Reason.INTERNAL_ERROR: 500,
}

DEFAULT_HTTP_STATUS: Final = 503

# Reasons that report a timeout.
TIMEOUTS: Final = frozenset(
    {Reason.DEADLINE, Reason.CHUNK_TIMEOUT, Reason.START_TIMEOUT}
)


@attrs.frozen(kw_only=True)
class Failure:
    """A request or call that did not end with a complete answer."""

    verdict: Verdict
    reason: Reason
    # Human-readable explanation; never parsed.
    detail: str = ""
    # Seconds after which the caller may retry; None if it should not.
    retry_after_s: float | None = None

    @property
    def http_status(self) -> int:
        """The HTTP status code for this failure."""
        return HTTP_STATUS.get(self.reason, DEFAULT_HTTP_STATUS)


def forwarded_status(failure: Failure) -> int:
    """Return the HTTP status of a forwarded request that failed.

    Callers take a status below 500, or 503, as proof that the request was not
    run, and then repeat even requests that must not run twice.  So only a
    request that is proved not to have run gets such a status; all others get
    502 or 504.
    """
    status = failure.http_status
    if failure.verdict is Verdict.NOT_RUN:
        return status if status < 500 else DEFAULT_HTTP_STATUS
    if failure.reason in TIMEOUTS:
        return 504
    return 502


def not_run(
    reason: Reason, detail: str = "", retry_after_s: float | None = None
) -> Failure:
    """Return a failure whose request is proved not to have run."""
    return Failure(
        verdict=Verdict.NOT_RUN,
        reason=reason,
        detail=detail,
        retry_after_s=retry_after_s,
    )


def may_have_run(
    reason: Reason, detail: str = "", retry_after_s: float | None = None
) -> Failure:
    """Return a failure whose request may have taken effect."""
    return Failure(
        verdict=Verdict.MAY_HAVE_RUN,
        reason=reason,
        detail=detail,
        retry_after_s=retry_after_s,
    )
