"""A router's view of the agents: each is asked to tell of changes."""

import random
from collections.abc import Callable
from typing import Final
from urllib.parse import quote

import attrs
import structlog
from twisted.internet.defer import Deferred

from sequoiawind import supervise, timing, wire
from sequoiawind.fleet import Fleet
from sequoiawind.http1_client import (
    Http1Client,
    OutgoingRequest,
    fetch,
)
from sequoiawind.ports import Clock
from sequoiawind.wire import TargetStatus

Logger = structlog.typing.FilteringBoundLogger

STATUS_PATH: Final = b"/agent/status"
# For how long an agent may wait for a change before it answers.
STATUS_WAIT_S: Final = 0.6
# Pause after a failed call, in seconds; doubles up to the cap.
RETRY_BASE_S: Final = 0.1
RETRY_CAP_S: Final = 1.0


@attrs.define(kw_only=True)
class AgentClient:
    """Asks the agents beside targets."""

    # Name of a router that asks; empty for an agent.
    router: str = ""
    client: Http1Client
    agent_port: int
    # Time for an answer, the agent's wait for a change included.
    timeout_s: float
    log: Logger

    async def status(
        self, address: str, after: int = -1
    ) -> TargetStatus | None:
        """Return the status of the target at an address.

        Args:
          address: Where the target serves.
          after: The agent waits for a status with a greater number.

        Returns:
          The status; None if the agent does not answer.
        """
        agent = f"{address.rpartition(':')[0]}:{self.agent_port}"
        router = quote(self.router)
        request = OutgoingRequest(
            method=b"GET",
            target=STATUS_PATH + f"?after={after}&router={router}".encode(),
            headers=[(b"host", agent.encode())],
        )
        answered = await fetch(self.client, agent, request, self.timeout_s)
        if answered.is_error() or answered.ok.status != 200:
            return None
        try:
            return wire.decode(answered.ok.body, TargetStatus)
        except wire.WireError as error:
            self.log.warning(
                "status not readable", agent=agent, error=str(error)
            )
            return None


@attrs.define(kw_only=True)
class WatchedAgent:
    """How far one agent has been heard."""

    # Number of its last status; negative before the first.
    number: int = -1
    # Questions in a row without an answer.
    failures: int = 0


@attrs.define(kw_only=True)
class StatusWatcher:
    """The controller that keeps the fleet's statuses fresh."""

    fleet: Fleet
    agents: AgentClient
    clock: Clock
    random: random.Random
    log: Logger
    # Called with a target's name after each change.
    on_change: Callable[[str], None] = attrs.field(default=lambda name: None)
    # Names of the targets whose agents are being asked.
    watched: set[str] = attrs.field(factory=set)

    def follow(self) -> None:
        """Begin to ask the agents of targets that are new."""
        for name, view in self.fleet.views.items():
            if view.target.versions and name not in self.watched:
                self.watched.add(name)
                Deferred.fromCoroutine(self.watch(name))

    async def watch(self, name: str) -> None:
        """Ask one target's agent for as long as the target exists."""
        watched = WatchedAgent()

        async def step() -> bool:
            await self.ask(name, watched)
            return name in self.fleet.views

        await supervise.repeat(step, f"agent {name}", self.clock, self.log)
        self.watched.discard(name)

    async def ask(self, name: str, watched: WatchedAgent) -> None:
        """Ask an agent once, and pause if it did not answer."""
        view = self.fleet.views.get(name)
        if view is None:
            return
        told = await self.agents.status(view.target.address, watched.number)
        if told is None:
            watched.failures += 1
            if watched.failures == 1:
                self.log.info("agent lost", target=name)
            pause_s = min(RETRY_CAP_S, RETRY_BASE_S * 2.0**watched.failures)
            jittered_s = timing.jittered(pause_s, 0.3, self.random)
            await timing.sleep(self.clock, jittered_s)
            return
        if watched.failures or watched.number < 0:
            self.log.info("agent heard", target=name)
        watched.failures = 0
        watched.number = told.number
        if told.target == name:
            self.fleet.heard(name, told, self.clock.seconds())
            self.on_change(name)
