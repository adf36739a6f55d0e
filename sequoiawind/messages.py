"""Texts of refusals and errors, for callers, operators and log lines."""

from typing import Final

KEY_MISSING: Final = (
    "this kind of request needs an Idempotency-Key header with a UUID of "
    "version 7"
)
KEY_MALFORMED: Final = "the Idempotency-Key is not a UUID of version 7"
KEY_TOO_OLD: Final = (
    "the Idempotency-Key is too old: claims are kept for a limited time only"
)
KEY_IN_FUTURE: Final = "the time in the Idempotency-Key is in the future"
KEY_REUSED: Final = (
    "the Idempotency-Key was already used with a different request"
)
NO_ROUTE: Final = "no route matches this path and model"
NO_TARGET: Final = "no target of the pool accepts work"
NO_CONFIGURATION: Final = "the configuration has not been read yet"
UNAUTHENTICATED: Final = "the bearer token is missing or unknown"
FORBIDDEN: Final = "the operator's role does not allow this command"
RATE_LIMIT: Final = "the client account has exceeded its request rate"
ACCOUNT_RATE_LIMIT: Final = "the client account has exceeded its rate limit"
CONCURRENCY_LIMIT: Final = "the client account has too many open requests"
QUEUE_FULL: Final = "the target's queue is full"
QUEUE_TOO_LONG: Final = "the expected wait is longer than the request allows"
COSTLY: Final = "another target may serve the request at less cost"
RETRY_BUDGET: Final = "the retry budget is exhausted"
ORIGIN_UNKNOWN: Final = (
    "it is not known which software version began the stream"
)
ORIGIN_GONE: Final = "no target may continue the stream that began elsewhere"
SCOPE_CHANGED: Final = (
    "the accounts that share cached prompts have changed since it was sent"
)
WEIGHTS_REPLACED: Final = "it waited until its target's weights were too old"
DRAINING: Final = "the target is draining"
SHUTTING_DOWN: Final = "the daemon is shutting down"
WRONG_WEIGHTS: Final = "the target serves a different version of the weights"
LOG_UNAVAILABLE: Final = (
    "the log did not accept the claim; this request was not run, and "
    "earlier requests with this key cannot be looked up now"
)
CLAIM_OPEN: Final = "a request with this key was started and has not ended"
CLAIM_EXPIRED: Final = "the claim expired before the request could be sent"
CHUNK_MISSING: Final = "part of the answer was lost and cannot be replaced"
DEADLINE: Final = "the request's deadline has passed"
BAD_ADDRESS: Final = "the address has no valid port"
CONNECT_FAILED: Final = "the connection could not be opened"
NO_DESCRIPTORS: Final = "the router has too many connections"
INTERIM_WITHOUT_END: Final = "the target sent interim answers without end"
CONNECTION_LOST: Final = "the connection was lost before the answer ended"
NOT_A_STREAM: Final = "the answer does not continue the stream"
STREAM_TRUNCATED: Final = "the answer broke off inside or between its events"
START_TIMEOUT: Final = "the target did not respond in time"
ANSWER_UNFINISHED: Final = "the answer was not complete in time"
CHUNK_TIMEOUT: Final = "the target sent no more data in time"
TARGET_LOST: Final = "the target failed during the answer"
ATTEMPT_TOO_LARGE: Final = "the request is too large for an agent"
CANCELLED: Final = "the request was cancelled or the caller disconnected"
BODY_NOT_JSON: Final = "the request's body is not JSON in UTF-8"
INTERNAL_ERROR: Final = "an internal error of the router ended the request"
SETTLED_AS_NOT_RUN: Final = "an operator has settled this key as not run"
SETTLED_AS_RUN: Final = "an operator has settled this key as run"
COMMAND_NOT_ACCEPTED: Final = "the log did not accept the command"
COMMAND_OUTCOME_UNKNOWN: Final = (
    "the log's answer was lost; check the configuration before repeating "
    "the command"
)
BODY_NOT_UTF8: Final = "the request's body is not UTF-8"
NO_STATEMENT: Final = "the body has no text in `statement`"
NO_MODEL: Final = "`model` must be a string"
NO_PROMPT: Final = "`prompt` or `messages` must hold text"
BAD_MAX_TOKENS: Final = "`max_tokens` must be a whole number from 1 to {limit}"
ONE_CHOICE: Final = "only one choice (`n` = 1) is supported"
ANSWER_TOO_LARGE: Final = "the target's answer is too large"
FOREIGN_ANSWER: Final = "the target answered another request"
CONFIG_STALE: Final = "the configuration is too old for checking API keys"
NO_TARGET_IN_TIME: Final = "no target can answer in the remaining time"
BLOCKED_PART: Final = "targets crash under a part of the prompt"
BLOCKED_REQUEST: Final = "targets crash under this request"
TARGET_LIMIT: Final = "the limits that targets state leave no room in time"
OVERLOADED: Final = "the pool has more work than it can answer in time"
TARGET_REFUSED: Final = "the target refused the request without running it"
MAX_TARGETS: Final = "the route's maximum number of targets has been tried"
ROUTE_TIMEOUT: Final = "the route's time limit has passed"
UNKNOWN_API_KEY: Final = "the caller's API key is missing or unknown"
