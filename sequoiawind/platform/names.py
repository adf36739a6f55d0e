"""Names in the platform's interfaces: headers, paths, topics and values."""

from typing import Final

# Headers of requests and answers, in lower case.
ATTEMPT_ID: Final = b"sequoiawind-attempt-id"
DEADLINE_MS: Final = b"sequoiawind-deadline-ms"
MODEL: Final = b"sequoiawind-model"
TOKEN_COUNT: Final = b"sequoiawind-token-count"
LENGTH_HINT: Final = b"sequoiawind-length-hint"
PROMPT_PREFIX: Final = b"sequoiawind-prompt-prefix"
EXPECT_INSTANCE: Final = b"sequoiawind-expect-instance"
EXPECT_VERSION: Final = b"sequoiawind-expect-version"
TENANT: Final = b"sequoiawind-tenant"
CACHE_SALT: Final = b"sequoiawind-cache-salt"
URGENCY: Final = b"sequoiawind-request-urgency"
KV_SOURCE: Final = b"sequoiawind-kv-source"
KV_SINK: Final = b"sequoiawind-kv-sink"
KV_FROM: Final = b"kv-from"
NOT_EXECUTED: Final = b"sequoiawind-not-executed"
WEIGHT_VERSIONS: Final = b"sequoiawind-weight-versions"
LAST_EVENT_ID: Final = b"last-event-id"
# Attempt id by which a caller names the stream that it resumes.
RESUMES: Final = b"resumes"
AUTHORIZATION: Final = b"authorization"
RETRY_AFTER: Final = b"retry-after"
# In all answers of a target that is leaving: 1.
SERVER_LEAVING: Final = b"server-leaving"
# Requests a second that a target takes from all VMs together, while it says so.
SERVER_LIMIT: Final = b"server-limit"
# In all answers of the store: rises each time it returns from a copy.
STORE_ERA: Final = b"store-era"

# Scheme of the `Authorization` header, before the key.
KEY_SCHEME: Final = b"token"

# Headers that apply to one connection only; they are not passed on.
HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Headers that only the system may set in requests to targets.
OWN_HEADERS: Final = frozenset(
    {
        DEADLINE_MS,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        TENANT,
        CACHE_SALT,
        URGENCY,
        KV_SOURCE,
        KV_SINK,
        AUTHORIZATION,
        b"sequoiawind-pin-ms",
        b"sequoiawind-kv-hold",
        b"sequoiawind-kv-backup",
        KV_FROM,
    }
)

READY_TARGET: Final = b"/api/ready"
REPORT_TARGET: Final = b"/api/report"
CACHE_EVENTS_TARGET: Final = b"/api/kv-events"
WAIT_MS: Final = b"wait-ms"
ORDER_TARGET: Final = b"/api/order"
MOVE_TARGET: Final = b"/api/kv-move"
MOVED_TARGET: Final = b"/api/kv-handle/"

# Topics and keys of the store.
OPERATOR_TOPIC: Final = "keyed.op"
TARGETS_TOPIC: Final = "keyed.servers"
# Our own: which software version began which stream.
ORIGINS_TOPIC: Final = "stream-origins"
# Our own: which software versions may have begun streams.
SOFTWARE_TOPIC: Final = "keyed.software"
# Our own: crashes of targets, and the parts of prompts that they cleared.
CRASHES_TOPIC: Final = "keyed.prompt-crashes"
CONFIG_KEY: Final = "config"
VERSION_KEY_PREFIX: Final = "version/"

# Values of `kind` of a route.
IDEMPOTENT: Final = "idempotent"
STREAMING: Final = "streaming"
# Unit of the rate limit of a client account that is counted in tokens.
TOKEN_UNIT: Final = "token_stream"
# Values of `state` of a target's entry.
READY: Final = "ready"
DRAINING: Final = "draining"
