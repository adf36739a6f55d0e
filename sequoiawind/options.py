"""The options of each daemon: made in one place, then passed down.

Each class is one TOML file.  ``settings`` reads and checks the files; nothing
else reads settings or the command line.
"""

import attrs

from sequoiawind import defaults


@attrs.frozen(kw_only=True)
class Address:
    """A host and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return host:port."""
        return f"{self.host}:{self.port}"


@attrs.frozen(kw_only=True)
class LogsOptions:
    """What the daemon logs."""

    # "json" or "console".
    format: str = "json"
    # "debug", "info", "warning" or "error".
    level: str = "info"


@attrs.frozen(kw_only=True)
class PlatformOptions:
    """Where the platform's services are."""

    log: Address
    # How long the log keeps records, in seconds.
    log_retention_s: float = defaults.LOG_RETENTION_S
    # The list of live and leaving VMs; left out if there is none.
    vm_list: Address | None = None


@attrs.frozen(kw_only=True)
class PeerOptions:
    """The other processes of the system, and the secret they share."""

    secret: str
    # Other routers, as host:port.
    routers: tuple[Address, ...] = ()
    # Some agents, to start from while all routers restart and the log is
    # down.
    agents: tuple[Address, ...] = ()


@attrs.frozen(kw_only=True)
class RouterOptions:
    """The router itself."""

    name: str
    listen: Address
    failure_domain: str = ""
    # How long to answer "not ready" before the listener closes, in seconds.
    balancer_wait_s: float = defaults.BALANCER_WAIT_S


@attrs.frozen(kw_only=True)
class AgentOptions:
    """The agent itself and its target."""

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
    """What the platform holds the system to."""

    # Time after which a key that was taken away must not work.
    revoke_ms: float = 5_000.0
    # Time within which a configuration must be in force.
    in_force_ms: float = 2_000.0
    # Time within which a leaving target must get no new work.
    drain_ms: float = 2_000.0
    # Time between SIGTERM and SIGKILL.
    grace_s: float = 8.0
    # Time within which all targets must have newly named weights.
    weights_ms: float = 8_000.0
    # Time for which a process that has started, or has found the store again,
    # is not held to these bounds.
    settle_ms: float = 3_000.0
    # Repeats allowed for each request, and besides, in a window.
    repeat_ratio: float = 0.2
    repeat_allowance: float = 20.0
    repeat_window_s: float = 10.0


@attrs.frozen(kw_only=True)
class NodeOptions:
    """One process on its VM."""

    name: str
    ip: str
    failure_domain: str = ""
    # Port on which agents answer routers, the same on all VMs.
    agent_port: int = 7340
    metrics_port: int = 9464


@attrs.frozen(kw_only=True)
class EntryOptions:
    """Where a router serves callers, and tells whether it is ready."""

    callers: Address
    ready: Address


@attrs.frozen(kw_only=True)
class ForwardRouterSettings:
    """The settings file of `sequoiawind-forward-router`."""

    node: NodeOptions
    store: Address
    entry: EntryOptions
    bounds: BoundsOptions = attrs.field(factory=BoundsOptions)
    logs: LogsOptions = attrs.field(factory=LogsOptions)


@attrs.frozen(kw_only=True)
class ForwardAgentSettings:
    """The settings file of `sequoiawind-forward-agent`."""

    node: NodeOptions
    store: Address
    # Address of the target beside which the agent runs.
    target: Address
    bounds: BoundsOptions = attrs.field(factory=BoundsOptions)
    logs: LogsOptions = attrs.field(factory=LogsOptions)


@attrs.frozen(kw_only=True)
class RouterSettings:
    """The settings file of `sequoiawind-router`."""

    router: RouterOptions
    platform: PlatformOptions
    peers: PeerOptions
    logs: LogsOptions = attrs.field(factory=LogsOptions)


@attrs.frozen(kw_only=True)
class AgentSettings:
    """The settings file of `sequoiawind-agent`."""

    agent: AgentOptions
    platform: PlatformOptions
    peers: PeerOptions
    logs: LogsOptions = attrs.field(factory=LogsOptions)
