"""A small deployment: a store, engines, agents and routers on loopback."""

import random
from collections.abc import Mapping, Sequence
from contextlib import AsyncExitStack
from typing import Any, Final

import attrs

from stand_ins.config import configuration
from stand_ins.deployment import BOUNDS, Machine, free_port
from stand_ins.engine import MODEL, Engine
from stand_ins.store import OPERATOR_TOPIC, Store

BOOKINGS: Final = "dispatch-app"
BRIEFS: Final = "brief-llm"
FIRST_VERSION: Final = 5
START_TIMEOUT_S: Final = 15.0


@attrs.define(kw_only=True, eq=False)
class Small:
    """The parts of a deployment; a context manager that runs them."""

    # Keys by tenant in the first configuration.
    keys: Mapping[str, Sequence[str]]
    model_engines: int = 2
    booking_engines: int = 2
    router_count: int = 1
    # Routers, and model engines with their agents, that may be added later.
    spare_count: int = 0
    spare_engines: int = 0
    bounds: Mapping[str, Any] = attrs.field(factory=lambda: dict(BOUNDS))
    store: Store = attrs.field(init=False)
    models: list[Engine] = attrs.field(init=False)
    bookings: list[Engine] = attrs.field(init=False)
    agents: list[Machine] = attrs.field(factory=list)
    routers: list[Machine] = attrs.field(init=False)
    spares: list[Machine] = attrs.field(init=False)
    stack: AsyncExitStack = attrs.field(factory=AsyncExitStack)

    def __attrs_post_init__(self) -> None:
        """Choose the addresses."""
        net = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"
        self.store = Store(host=f"{net}.1")
        self.models = [
            Engine(
                id=f"i-{number}",
                service=BRIEFS,
                host=f"{net}.{10 + number}",
                store=self.store,
                has_model=True,
            )
            for number in range(self.model_engines + self.spare_engines)
        ]
        self.bookings = [
            Engine(
                id=f"j-{number}",
                service=BOOKINGS,
                host=f"{net}.{50 + number}",
                store=self.store,
            )
            for number in range(self.booking_engines)
        ]
        port = free_port(f"{net}.10")
        fronts = [
            Machine(
                name=f"front-{number}",
                role="router",
                host=f"{net}.{90 + number}",
                agent_port=port,
            )
            for number in range(self.router_count + self.spare_count)
        ]
        self.routers = fronts[: self.router_count]
        self.spares = fronts[self.router_count :]
        self.agents = [
            Machine(
                name=f"side-{number}",
                role="agent",
                host=engine.host,
                agent_port=port,
            )
            for number, engine in enumerate(self.models)
        ]

    async def __aenter__(self) -> "Small":
        """Start all parts."""
        await self.stack.enter_async_context(self.store.server)
        self.configure(FIRST_VERSION, self.keys)
        self.name_weights(1)
        for machine in (*self.machines, *self.spares):
            machine.store = self.store.server.address
            machine.bounds = self.bounds
        for engine in (*self.models[: self.model_engines], *self.bookings):
            await self.stack.enter_async_context(engine)
        for engine, agent in self.beside(self.model_engines):
            agent.app = engine.server.address
        for machine in (*self.agents[: self.model_engines], *self.routers):
            self.stack.enter_context(machine)
        return self

    def beside(self, count: int) -> list[tuple[Engine, Machine]]:
        """Return the first model engines, each with its agent."""
        return list(zip(self.models, self.agents, strict=True))[:count]

    async def add_engine(self, software: str, weights: int = 1) -> Engine:
        """Start a further model engine and its agent.

        Args:
          software: The version of its software.
          weights: That of its weights.

        Returns:
          The engine.
        """
        engine, agent = next(
            pair for pair in self.beside(len(self.models)) if not pair[1].app
        )
        engine.software, engine.version = software, weights
        await self.stack.enter_async_context(engine)
        # The address is known once the engine serves.
        agent.app = engine.server.address
        self.stack.enter_context(agent)
        return engine

    def add_router(self) -> Machine:
        """Start one more router; return it."""
        machine = self.spares.pop(0)
        self.routers.append(self.stack.enter_context(machine))
        return machine

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop all parts."""
        await self.stack.aclose()

    @property
    def machines(self) -> list[Machine]:
        """All machines of the system."""
        return [*self.agents, *self.routers]

    async def is_up(self) -> bool:
        """Wait until all processes work; return whether they do."""
        for machine in (*self.agents[: self.model_engines], *self.routers):
            event = "ready" if machine.role == "router" else "listening"
            if not await machine.wait_for(event, START_TIMEOUT_S):
                return False
        return True

    # The operator.

    def configure(
        self, version: int, keys: Mapping[str, Sequence[str]]
    ) -> None:
        """Write a configuration."""
        written = configuration(version, keys)
        self.store.put(OPERATOR_TOPIC, "config", written)

    def name_weights(self, version: int) -> None:
        """Name a version of the weights."""
        named = {"model": MODEL, "version": version}
        self.store.put(OPERATOR_TOPIC, f"version/{MODEL}", named)
