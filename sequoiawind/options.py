"""The options of each daemon.

Each ``...Settings`` class is a TOML file, each ``...Options`` class a table in
one.  ``settings`` reads and checks the files; no other module reads them.
"""

from typing import Final

import attrs

from sequoiawind import defaults

MAX_PORT: Final = 65_535
MAX_DIGITS: Final = 5


@attrs.frozen(kw_only=True)
class Address:
    """A host and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return host:port."""
        return f"{self.host}:{self.port}"


def parse_port(text: str) -> int | None:
    """Return a port in decimal digits; None if the text is none."""
    # `isdigit` alone also accepts digits that `int` refuses.
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        return None
    port = int(text)
    return port if port <= MAX_PORT else None


@attrs.frozen(kw_only=True)
class LogsOptions:
    """Format and level of the daemon's log lines."""

    # "json" or "console".
    format: str = "json"
    # "debug", "info", "warning" or "error".
    level: str = "info"


@attrs.frozen(kw_only=True)
class ClosingOptions:
    """Bounds on the close of connections whose peers may still be sending.

    What arrives after the answer is read and discarded until the peer closes
    the connection too, or until a bound is reached.
    """

    # Time from the answer to the end of the connection, in seconds.
    linger_s: float = defaults.LINGER_S
    # Number of bytes that are read and discarded.
    linger_bytes: int = defaults.MAX_LINGER_BYTES


@attrs.frozen(kw_only=True)
class PlatformOptions:
    """Addresses of the platform's services, and the log's retention time."""

    log: Address
    # How long the log keeps records, in seconds.
    log_retention_s: float = defaults.LOG_RETENTION_S
    # Address of the list of live and leaving VMs; None if there is no list.
    vm_list: Address | None = None


@attrs.frozen(kw_only=True)
class PeerOptions:
    """Addresses of the system's other processes, and their shared secret."""

    secret: str
    # Other routers, as host:port.
    routers: tuple[Address, ...] = ()
    # Some agents, from which the configuration is read if all routers restart
    # while the log is down.
    agents: tuple[Address, ...] = ()


@attrs.frozen(kw_only=True)
class RouterOptions:
    """Name, address and shutdown of the router."""

    name: str
    listen: Address
    failure_domain: str = ""
    # How long to answer "not ready" before the listener closes, in seconds.
    balancer_wait_s: float = defaults.BALANCER_WAIT_S
    # Time between SIGTERM and SIGKILL, in seconds; 0 if the platform sends no
    # SIGKILL.
    grace_s: float = 0.0


@attrs.frozen(kw_only=True)
class AgentOptions:
    """The agent's name, address and limits, and its target."""

    name: str
    listen: Address
    target: str
    target_address: Address
    # "engine" or "plain".
    service: str = "engine"
    failure_domain: str = ""
    max_running: int = defaults.MAX_RUNNING
    max_queue: int = defaults.MAX_QUEUE
    prefill_tokens_per_s: float = defaults.PREFILL_TOKENS_PER_S
    # Whether the target refuses an order with an old fencing number.
    checks_fencing: bool = True


@attrs.frozen(kw_only=True)
class BoundsOptions:
    """Limits on times and repeats that the platform imposes on the system."""

    # Time after which a revoked API key must no longer be accepted.
    revoke_ms: float = 5_000.0
    # Time within which a new configuration must be in force.
    in_force_ms: float = 2_000.0
    # Time after which a leaving target must get no new work.
    drain_ms: float = 2_000.0
    # Time between SIGTERM and SIGKILL.
    grace_s: float = 8.0
    # Time within which all targets must have loaded newly named weights.
    weights_ms: float = 8_000.0
    # Time after a start, or after the store can be reached again, in which a
    # process need not meet these bounds.
    settle_ms: float = 3_000.0
    # Repeats allowed in a window: this many per request, plus the allowance.
    repeat_ratio: float = 0.2
    repeat_allowance: float = 20.0
    repeat_window_s: float = 10.0


@attrs.frozen(kw_only=True)
class LeaseOptions:
    """Leases in the store, by which routers share work."""

    # Duration of a lease.
    lease_ms: float = 3_000.0
    # Number of partitions of each topic of the store.
    partitions: int = 16


@attrs.frozen(kw_only=True)
class LimitsOptions:
    """Limits of the VM of a router; 0 where the platform states none."""

    # Memory of the process, in megabytes.
    memory_mb: float = 0.0
    # Number of open file descriptors.
    max_fds: int = 0


@attrs.frozen(kw_only=True)
class NodeOptions:
    """Name, address and ports of one process."""

    name: str
    ip: str
    failure_domain: str = ""
    # Port on which agents answer routers, the same on all VMs.
    agent_port: int = 7340
    metrics_port: int = 9464


@attrs.frozen(kw_only=True)
class EntryOptions:
    """Addresses where a router serves callers and readiness checks."""

    callers: Address
    ready: Address


@attrs.frozen(kw_only=True)
class LoadOptions:
    """Which parts of load control run, where something calls for them."""

    # Limits of client accounts, where the configuration has any.
    account_limits: bool = False
    # Choice by the targets' speeds, where these are seen to differ.
    pace: bool = False
    # Refusal of requests that cannot be answered in time.
    admission: bool = False
    # Order of waiting requests by account.
    fairness: bool = False


@attrs.frozen(kw_only=True)
class ForwardRouterSettings:
    """The settings file of `sequoiawind-forward-router`."""

    node: NodeOptions
    store: Address
    entry: EntryOptions
    limits: LimitsOptions = attrs.field(factory=LimitsOptions)
    bounds: BoundsOptions = attrs.field(factory=BoundsOptions)
    lease: LeaseOptions = attrs.field(factory=LeaseOptions)
    load: LoadOptions = attrs.field(factory=LoadOptions)
    closing: ClosingOptions = attrs.field(factory=ClosingOptions)
    logs: LogsOptions = attrs.field(factory=LogsOptions)


@attrs.frozen(kw_only=True)
class ForwardAgentSettings:
    """The settings file of `sequoiawind-forward-agent`."""

    node: NodeOptions
    store: Address
    # Address of the agent's target.
    target: Address
    bounds: BoundsOptions = attrs.field(factory=BoundsOptions)
    lease: LeaseOptions = attrs.field(factory=LeaseOptions)
    closing: ClosingOptions = attrs.field(factory=ClosingOptions)
    logs: LogsOptions = attrs.field(factory=LogsOptions)


@attrs.frozen(kw_only=True)
class RouterSettings:
    """The settings file of `sequoiawind-router`."""

    router: RouterOptions
    platform: PlatformOptions
    peers: PeerOptions
    closing: ClosingOptions = attrs.field(factory=ClosingOptions)
    logs: LogsOptions = attrs.field(factory=LogsOptions)


@attrs.frozen(kw_only=True)
class AgentSettings:
    """The settings file of `sequoiawind-agent`."""

    agent: AgentOptions
    platform: PlatformOptions
    peers: PeerOptions
    closing: ClosingOptions = attrs.field(factory=ClosingOptions)
    logs: LogsOptions = attrs.field(factory=LogsOptions)
