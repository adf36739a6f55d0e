"""Texts that people read: callers, operators and the log's readers."""

from typing import Final

KEY_MISSING: Final = (
    "this kind of request needs an Idempotency-Key header with a UUID of "
    "version 7"
)
KEY_MALFORMED: Final = "the Idempotency-Key is not a UUID of version 7"
KEY_TOO_OLD: Final = "the Idempotency-Key is older than its claim is kept"
KEY_IN_FUTURE: Final = "the time in the Idempotency-Key is in the future"
KEY_REUSED: Final = "the Idempotency-Key was used with another request"
NO_ROUTE: Final = "no route matches this path and model"
NO_TARGET: Final = "no target of the pool accepts work"
NO_CONFIGURATION: Final = "the configuration has not been read yet"
UNAUTHENTICATED: Final = "the bearer token is missing or unknown"
FORBIDDEN: Final = "the operator's role does not allow this command"
RATE_LIMIT: Final = "the client account is over its request rate"
CONCURRENCY_LIMIT: Final = "the client account has too many open requests"
QUEUE_FULL: Final = "the target's queue is full"
QUEUE_TOO_LONG: Final = "the wait is longer than the request allows"
RETRY_BUDGET: Final = "the retry budget is used up"
DRAINING: Final = "the target is draining"
SHUTTING_DOWN: Final = "the daemon is shutting down"
WRONG_WEIGHTS: Final = "the target serves other weights"
LOG_UNAVAILABLE: Final = (
    "the log did not take the claim; this submission was not run, and "
    "earlier ones with this key cannot be looked up now"
)
CLAIM_LOST: Final = "another request with this key was first"
CLAIM_OPEN: Final = "a request with this key has started and not ended"
CLAIM_EXPIRED: Final = "too much time passed between claim and sending"
CHUNK_MISSING: Final = "part of the answer was lost and cannot be replaced"
DEADLINE: Final = "the request's deadline has passed"
CONNECT_FAILED: Final = "the connection could not be opened"
CONNECTION_LOST: Final = "the connection was lost before the answer ended"
START_TIMEOUT: Final = "the target did not start in time"
CHUNK_TIMEOUT: Final = "the target stopped sending"
TARGET_LOST: Final = "the target failed during the answer"
CANCELLED: Final = "the caller has gone"
BODY_TOO_LARGE: Final = "the request's body is too large"
BODY_NOT_JSON: Final = "the request's body is not JSON in UTF-8"
SETTLED: Final = "an operator has settled this key as not run"
KEEPS_RAN: Final = "an operator has settled this key as run"
LOG_NOT_TAKEN: Final = "the log did not take the command"
LOG_UNKNOWN: Final = (
    "the log's answer was lost; look at the configuration before repeating"
)
