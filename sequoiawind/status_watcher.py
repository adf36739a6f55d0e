"""Keeps a router's view of its targets' agents current by long polls."""

import random
from collections.abc import Callable
from typing import Final
from urllib.parse import quote

import attrs
import structlog
from expression import Result
from twisted.internet.defer import Deferred

from sequoiawind import supervise, timing, wire
from sequoiawind.feed_cover import FeedCover
from sequoiawind.fleet import Fleet
from sequoiawind.http1_client import Http1Client, OutgoingRequest
from sequoiawind.http1_fetch import HttpReply, fetch
from sequoiawind.ports import Clock
from sequoiawind.verdict import Failure, Reason
from sequoiawind.wire import TargetStatus

Logger = structlog.typing.FilteringBoundLogger

STATUS_PATH: Final = b"/agent/status"
# How long an agent may wait for a change before it answers, in seconds.
STATUS_WAIT_S: Final = 0.6
# The pause after n failed calls in a row is RETRY_BASE_S * 2**n, at most
# RETRY_CAP_S, in seconds.
RETRY_BASE_S: Final = 0.1
RETRY_CAP_S: Final = 1.0
# Time allowed for an agent's answer to whether it is there, in seconds.
PRESENCE_S: Final = 0.3


@attrs.define(kw_only=True)
class AgentClient:
    """Reads the status of targets from the agents beside them."""

    # Name of the router that calls; empty if an agent calls.
    router: str = ""
    client: Http1Client
    agent_port: int
    # Time allowed for a response in seconds, including the agent's wait.
    timeout_s: float
    log: Logger

    async def status(
        self, address: str, after: int = -1
    ) -> TargetStatus | None:
        """Return the status of the target at an address.

        Args:
          address: Address of the target, as host:port.
          after: Number of the last status received; the agent waits for a
            greater one.

        Returns:
          The status; None if the call failed or its answer is no status.
        """
        query = f"?after={after}&router={quote(self.router)}"
        return await self.fetch_status(address, query, self.timeout_s)

    async def is_present(self, address: str) -> bool:
        """Return whether an agent listens beside the target at an address.

        One that accepts connections and answers nothing may be suspended.
        """
        answered = await self.send(address, "?now=1", PRESENCE_S)
        if answered.is_ok():
            return True
        return answered.error.reason is not Reason.CONNECT_FAILED

    async def current_status(
        self, address: str, timeout_s: float
    ) -> TargetStatus | None:
        """Return the present status of the target at an address.

        Args:
          address: Address of the target, as host:port.
          timeout_s: Time allowed for the answer, in seconds.

        Returns:
          The status; None if the call failed or its answer is no status.
        """
        return await self.fetch_status(address, "?now=1", timeout_s)

    async def fetch_status(
        self, address: str, query: str, timeout_s: float
    ) -> TargetStatus | None:
        """Return the status that the agent beside a target answers."""
        result = await self.send(address, query, timeout_s)
        if result.is_error() or result.ok.status != 200:
            return None
        try:
            return wire.decode(result.ok.body, TargetStatus)
        except wire.WireError as error:
            self.log.warning(
                "cannot decode status",
                agent=self.agent_of(address),
                error=str(error),
            )
            return None

    def agent_of(self, address: str) -> str:
        """Return the address of the agent beside a target."""
        return f"{address.rpartition(':')[0]}:{self.agent_port}"

    def send(
        self, address: str, query: str, timeout_s: float
    ) -> Deferred[Result[HttpReply, Failure]]:
        """Send a request to the agent beside a target."""
        agent = self.agent_of(address)
        request = OutgoingRequest(
            method=b"GET",
            request_target=STATUS_PATH + query.encode(),
            headers=[(b"host", agent.encode())],
        )
        return fetch(self.client, agent, request, timeout_s)


@attrs.define(kw_only=True)
class WatchedAgent:
    """How far the status of one agent has been read."""

    # Number of its last status; negative before the first.
    number: int = -1
    # Failed calls in a row.
    failures: int = 0


@attrs.define(kw_only=True)
class StatusWatcher:
    """Controller that keeps the statuses of the fleet's targets current."""

    fleet: Fleet
    agents: AgentClient
    clock: Clock
    random: random.Random
    log: Logger
    # Called with a target's name after each change.
    on_change: Callable[[str], None] = attrs.field(default=lambda name: None)
    # While it is given, a relay tells the statuses.
    cover: FeedCover | None = None
    # Names of the targets whose agents are polled.
    watched: set[str] = attrs.field(factory=set)

    def follow(self) -> None:
        """Start polling the agents of new targets that serve models."""
        for name, view in self.fleet.views.items():
            if view.target.versions and name not in self.watched:
                self.watched.add(name)
                Deferred.fromCoroutine(self.watch(name))

    async def watch(self, name: str) -> None:
        """Poll one target's agent for as long as the target exists."""
        watched = WatchedAgent()

        async def step() -> bool:
            await self.poll(name, watched)
            return name in self.fleet.views

        await supervise.repeat(step, f"agent {name}", self.clock, self.log)
        self.watched.discard(name)

    async def poll(self, name: str, watched: WatchedAgent) -> None:
        """Poll an agent once, and pause if that failed.

        An answer for another target changes nothing in the fleet.
        """
        view = self.fleet.views.get(name)
        if view is None:
            return
        if self.cover is not None and self.cover.is_given():
            watched.number = -1
            await self.cover.wait_until_lost()
            return
        status = await self.agents.status(view.target.address, watched.number)
        if status is None:
            watched.failures += 1
            if watched.failures == 1:
                self.log.info("agent lost", target=name)
            pause_s = min(RETRY_CAP_S, RETRY_BASE_S * 2.0**watched.failures)
            jittered_s = timing.jittered(pause_s, 0.3, self.random)
            await timing.sleep(self.clock, jittered_s)
            return
        if watched.failures or watched.number < 0:
            self.log.info("agent reachable", target=name)
        watched.failures = 0
        watched.number = status.number
        if status.target == name:
            self.fleet.record_status(name, status, self.clock.seconds())
            self.on_change(name)
