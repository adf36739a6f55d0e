"""Default values and fixed bounds; a name ends in the unit, if there is one.

Settings override the defaults; the bounds are part of the protocol between
daemons and are the same everywhere.
"""

from typing import Final

# Prompts.
# Sizes of the blocks by which routers place prompts and engines cache them.
PLACEMENT_BLOCK_BYTES: Final = 1024
ENGINE_BLOCK_BYTES: Final = 256
BYTES_PER_TOKEN: Final = 4
MAX_CHAIN_BLOCKS: Final = 256

# Requests.
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
# Held in memory of one answer at most: a body that is read to its end, and an
# event that is not complete.
MAX_HELD_BODY_BYTES: Final = 8 * 1024 * 1024
MAX_HELD_EVENT_BYTES: Final = 1024 * 1024
BODY_TIMEOUT_S: Final = 10.0
# How long a daemon that stops waits for a peer to read a finished answer.
SEND_TIMEOUT_S: Final = 10.0
IDLE_TIMEOUT_S: Final = 60.0
# After an answer, for connections whose peer may still be sending.
LINGER_S: Final = 3.0
MAX_LINGER_BYTES: Final = 16 * 1024 * 1024
REQUEST_DEADLINE_S: Final = 60.0
DEFAULT_MAX_TOKENS: Final = 64
MAX_ATTEMPTS: Final = 8
MAX_REORDERED_CHUNKS: Final = 64
MIN_RETRY_AFTER_S: Final = 1.0
# The same for a missing or stale configuration, in seconds: the usual time
# between two confirmations by the store.
CONFIG_RETRY_AFTER_S: Final = 0.5
# The same from a process that is shutting down, in seconds: others serve on.
ELSEWHERE_RETRY_AFTER_S: Final = 0.05
MAX_RETRY_AFTER_S: Final = 60.0
START_TIMEOUT_S: Final = 2.0
CHUNK_TIMEOUT_S: Final = 10.0

# Retry budget: retries allowed for each first attempt, and the reserve.
RETRY_RATIO: Final = 0.2
RETRY_RESERVE: Final = 10.0
BACKOFF_BASE_S: Final = 0.02
BACKOFF_CAP_S: Final = 1.0

# Ejection of failing targets.
EJECT_AFTER_FAILURES: Final = 3
EJECT_BASE_S: Final = 1.0
EJECT_CAP_S: Final = 30.0
MAX_EJECTED_SHARE: Final = 0.5
# Weight of one attempt in the moving average of a target's failures.
FAILURE_SHARE_WEIGHT: Final = 0.15
# Share of a pool on leaving VMs above which the VM list is taken to be wrong.
MAX_LEAVING_SHARE: Final = 0.5

# Placement.
# Targets to which a request may be sent without a probe, besides its home.
MAX_UNPROBED_CHOICES: Final = 2
# Parameters of `sharing.SharingTracker`.
PREFIX_COUNTERS: Final = 20_000
SHARING_WINDOW_S: Final = 30.0
SPLIT_SHARE: Final = 0.5
SPLIT_HYSTERESIS: Final = 0.6
SHARING_PRIOR: Final = 20.0
MAX_HOLDERS: Final = 4
# Targets, in rendezvous order, that are probed before a request is placed.
PROBES: Final = 4
PROBE_TIMEOUT_S: Final = 0.05
# Prompt tokens that a home (the first target in rendezvous order) may have to
# compute without other targets being probed.
MAX_HOME_MISSING_TOKENS: Final = 512
# Excess over the expected cost above which a home refuses a request.
COST_SLACK_S: Final = 0.1
# Costs are compared in steps of this width; within a step they are equal.
COST_STEP_S: Final = 0.02

# Agent.
MAX_QUEUE: Final = 256
MAX_RUNNING: Final = 24
# Prompt tokens that may be in prefill at a target at the same time, unless a
# single prompt is longer.
MAX_PREFILL_AHEAD_TOKENS: Final = 4096
PREFILL_TOKENS_PER_S: Final = 10_000.0
# Wait accepted for a cached prefix, as a multiple of the time that recomputing
# the prefix would take.
PATIENCE: Final = 4.0
EVENTS_POLL_S: Final = 0.1
MAX_PLACEMENT_BLOCKS: Final = 20_000
# How long after its expected wait a prompt's blocks are still expected in the
# engine's cache.
EXPECTED_BLOCK_S: Final = 3.0
# Time after which an engine's attempt that no router resumes is cancelled, and
# time for which an ended attempt can still be resumed.
RESUME_GRACE_S: Final = 2.0
RESUME_KEEP_S: Final = 10.0
AGENT_TICK_S: Final = 0.1
# Wait that is always accepted, so that an idle target refuses no prompt whose
# computation alone takes longer than the limit.
BASE_WAIT_S: Final = 0.05
# Longest time to the first token, or wait at a plain service.
MAX_FIRST_S: Final = 5.0
LOAD_REPORT_LIFETIME_S: Final = 2.0

# Configuration and the log.
CONFIG_STREAM: Final = "config"
SNAPSHOT_STREAM: Final = "config-snapshots"
CLAIM_STREAM_PREFIX: Final = "claims-"
CLAIM_STREAMS: Final = 8
READ_LIMIT: Final = 1000
CONFIG_POLL_S: Final = 1.0
CONFIG_POLL_JITTER: Final = 0.2
LOG_TIMEOUT_S: Final = 1.0
LOG_RETENTION_S: Final = 86_400.0
SNAPSHOT_SHARE_OF_RETENTION: Final = 0.4
# Probability, at each poll, that a daemon writes a snapshot that is due.
SNAPSHOT_PROBABILITY: Final = 0.1
# An offset that no stream reaches; a read from it returns no records, only the
# stream's first and end offsets.
BEYOND_END: Final = 2**62
MAX_RECORDS_PER_APPEND: Final = 500
RECORD_VERSION: Final = 1

# Idempotency keys.
KEY_MAX_AGE_S: Final = 3_600.0
KEY_MAX_SKEW_S: Final = 60.0
# The sum of both shares is below 1, so that the log still holds the first claim
# of a key when the last one is made.
KEY_AGE_SHARE_OF_RETENTION: Final = 0.5
KEY_SKEW_SHARE_OF_RETENTION: Final = 0.25
# Time from the start of a claim within which it must be won; the request of a
# later one is not sent.
CLAIM_SEND_WINDOW_S: Final = 30.0
READ_BACK_ATTEMPTS: Final = 5
READ_BACK_PAUSE_S: Final = 0.2
OUTBOX_RETRY_S: Final = 0.5
MAX_PENDING_RECORDS: Final = 10_000

# Membership.
VM_LIST_POLL_S: Final = 2.0
# Size of a VM's line in the list, and the rate at which a router may read the
# list.
VM_LIST_LINE_B: Final = 31
VM_LIST_BUDGET_B_PER_S: Final = 700.0
PEER_TIMEOUT_S: Final = 1.0
# Time between two demand messages of a router.
LIMIT_SHARE_PERIOD_S: Final = 1.0
# Demand above which a router reports an account to its peers, as a share of its
# equal part of the account's rate limit.
MIN_REPORTED_DEMAND_SHARE: Final = 0.1
MAX_REPORTED_ACCOUNTS: Final = 20
# Size of a demand message with the HTTP heads of request and answer, and the
# rate at which a router may send such messages.
DEMAND_MESSAGE_B: Final = 730
DEMAND_BUDGET_B_PER_S: Final = 400.0

# Shutdown: time for which a router answers "not ready" before it closes its
# listener.
BALANCER_WAIT_S: Final = 1.0

# Recent requests that `explain request` can look up.
MAX_EXPLAINED_REQUESTS: Final = 2_000

# Number of routers assumed where what they share is divided while their number
# is unknown.
ASSUMED_ROUTERS: Final = 16
