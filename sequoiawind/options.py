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
