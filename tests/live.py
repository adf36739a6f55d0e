"""Routers, agents and stand-ins on real sockets, in one process.

The reactor runs in a thread of its own, so that tests can use blocking
clients; the operating system assigns the ports.
"""

import random
import threading
import time
from typing import Any

import attrs
from twisted.internet.threads import blockingCallFromThread

from sequoiawind import (
    config_fold,
    defaults,
    event_loop,
    http_server,
    language,
    logs,
)
from sequoiawind.agent_program import AgentProgram
from sequoiawind.commands import Command, Create
from sequoiawind.lab.engine_model import EngineModel, EngineParameters
from sequoiawind.lab.log_model import LogModel
from sequoiawind.lab.plain_model import PlainModel
from sequoiawind.lab.standin_http import EngineHttp, LogHttp, PlainHttp
from sequoiawind.options import (
    Address,
    AgentOptions,
    AgentSettings,
    ClosingOptions,
    LogsOptions,
    PeerOptions,
    PlatformOptions,
    RouterOptions,
    RouterSettings,
)
from sequoiawind.router_program import RouterProgram
from sequoiawind.tokens import token_digest

ANY_PORT = Address(host="127.0.0.1", port=0)
SECRET = "test-secret-0123456789"
TOKEN = "nordlys-token"
OPERATOR_TOKEN = "ops-token"
READY_TRIES = 200
# Longer than any caller in the tests sends, in seconds.
LINGER_S = 60.0


def start_reactor_thread() -> None:
    """Start the reactor in a thread unless it is running."""
    if not event_loop.reactor.running:
        logs.configure(LogsOptions(level="error"))
        threading.Thread(
            target=event_loop.reactor.run,
            kwargs={"installSignalHandlers": False},
            daemon=True,
        ).start()


def in_reactor(function: Any, *args: Any) -> Any:
    """Call a function in the reactor's thread and return its result."""
    return blockingCallFromThread(event_loop.reactor, function, *args)


def address_of(port: Any) -> Address:
    """Return the address of a listening port."""
    return Address(host="127.0.0.1", port=port.getHost().port)


@attrs.define(kw_only=True)
class LiveSystem:
    """One log, two engines, one plain service, their agents, two routers."""

    engines: list[EngineModel] = attrs.field(factory=list)
    agents: list[AgentProgram] = attrs.field(factory=list)
    routers: list[RouterProgram] = attrs.field(factory=list)
    plain: Any = None
    log: Any = None
    platform: Any = None

    def start(self) -> None:
        """Start all parts and wait until the routers are ready."""
        start_reactor_thread()
        in_reactor(self.start_in_reactor)
        for _ in range(READY_TRIES):
            if all(
                router.board.phase.is_ready and router.board.state.revision >= 0
                for router in self.routers
            ):
                return
            time.sleep(0.02)
        raise AssertionError("the routers did not become ready")

    def start_in_reactor(self) -> None:
        """Start all parts; called in the reactor's thread."""
        reactor = event_loop.reactor
        source = random.Random(1)
        self.log = LogModel(
            clock=reactor,
            random=source,
            epoch_s=time.time() - reactor.seconds(),
        )
        log_port = http_server.listen(LogHttp(model=self.log).app(), ANY_PORT)
        self.platform = PlatformOptions(log=address_of(log_port))
        commands: list[Command] = base_commands()
        for number in range(2):
            engine = EngineModel(
                name=f"e{number}",
                clock=reactor,
                random=source,
                parameters=EngineParameters(
                    step_base_s=0.001, prefill_token_s=1e-6
                ),
            )
            self.engines.append(engine)
            app = EngineHttp(engine=engine).app()
            commands.append(self.add_agent(engine.name, "engine", app))
        self.plain = PlainModel(name="p0", clock=reactor)
        app = PlainHttp(model=self.plain).app()
        commands.append(self.add_agent("p0", "plain", app))
        records = [
            config_fold.make_record(f"boot-{number}", "boot", command)
            for number, command in enumerate(commands)
        ]
        self.log.append_now(defaults.CONFIG_STREAM, records)
        for number in range(2):
            self.routers.append(self.add_router(f"r{number}"))

    def add_agent(self, name: str, service: str, app: Any) -> Command:
        """Start a target and its agent; return the command that creates it."""
        target_port = http_server.listen(app, ANY_PORT)
        program = AgentProgram(
            options=AgentSettings(
                agent=AgentOptions(
                    name=f"agent-{name}",
                    listen=ANY_PORT,
                    target=name,
                    target_address=address_of(target_port),
                    service=service,
                ),
                platform=self.platform,
                peers=PeerOptions(secret=SECRET),
            )
        )
        program.listen()
        program.start()
        self.agents.append(program)
        pool = "briefing" if service == "engine" else "booking"
        return Create(
            table="targets",
            name=name,
            fields={"pool": pool, "agent": str(address_of(program.port))},
        )

    def add_router(
        self, name: str, peers: tuple[Address, ...] = ()
    ) -> RouterProgram:
        """Start a router."""
        program = RouterProgram(
            options=RouterSettings(
                router=RouterOptions(name=name, listen=ANY_PORT),
                platform=self.platform,
                peers=PeerOptions(secret=SECRET, routers=peers),
                closing=ClosingOptions(linger_s=LINGER_S),
            )
        )
        phase = program.board.phase

        def ready() -> None:
            phase.name = "serving"

        program.listen()
        program.start(on_ready=ready)
        return program

    def url(self, number: int = 0) -> str:
        """Return the base URL of a router."""
        return f"http://{address_of(self.routers[number].port)}"


CONFIGURATION = f"""
create kind briefing with priority = 6
create kind drop with repeat = never
create kind status
create pool briefing with model = polar
create pool booking with service = plain
create route briefing with path = "/v1", model = polar, pool = briefing, kind = briefing
create route drops with path = "/bookings", pool = booking, kind = drop
create route status with path = "/status", pool = booking, kind = status
create account nordlys with token_digest = "{token_digest(TOKEN)}"
create account small with token_digest = "{token_digest("small-token")}", rate_per_s = 0.5
create operator ops with token_digest = "{token_digest(OPERATOR_TOKEN)}", role = operator
create operator viewer with token_digest = "{token_digest("viewer-token")}"
"""  # noqa: E501


def base_commands() -> list[Command]:
    """Return the commands that create the configuration without targets."""
    return language.parse_commands(CONFIGURATION)


_shared: list[LiveSystem] = []


def shared() -> LiveSystem:
    """Return a system that tests share, started on first use."""
    if not _shared:
        system = LiveSystem()
        system.start()
        _shared.append(system)
    return _shared[0]
