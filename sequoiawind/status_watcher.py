"""A router's view of the agents: each is asked to tell of changes."""

import random
from collections.abc import Callable
from typing import Final

import attrs
import structlog
from twisted.internet.defer import Deferred

from sequoiawind import timing
from sequoiawind.fleet import Fleet
from sequoiawind.http_client import JsonClient
from sequoiawind.ports import Clock
from sequoiawind.wire import TargetStatus

Logger = structlog.typing.FilteringBoundLogger

STATUS_PATH: Final = "/agent/status"
# For how long an agent may wait for a change before it answers.
STATUS_WAIT_S: Final = 1.0
# Pause after a failed call, in seconds; doubles up to the cap.
RETRY_BASE_S: Final = 0.1
RETRY_CAP_S: Final = 1.0


@attrs.define(kw_only=True)
class StatusWatcher:
    """The controller that keeps the fleet's statuses fresh."""

    router: str
    fleet: Fleet
    json: JsonClient
    clock: Clock
    random: random.Random
    agent_port: int
    log: Logger
    # Called after each change.
    on_change: Callable[[], None] = attrs.field(default=lambda: None)
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
        number, failures = -1, 0
        while name in self.fleet.views:
            address = self.fleet.views[name].target.address
            told = await self.ask(address, number)
            if told is None:
                failures += 1
                if failures == 1:
                    self.log.info("agent lost", target=name)
                pause_s = min(RETRY_CAP_S, RETRY_BASE_S * 2.0**failures)
                jittered_s = timing.jittered(pause_s, 0.3, self.random)
                await timing.sleep(self.clock, jittered_s)
                continue
            if failures or number < 0:
                self.log.info("agent heard", target=name)
            failures, number = 0, told.number
            if told.target == name:
                self.fleet.heard(name, told, self.clock.seconds())
                self.on_change()
        self.watched.discard(name)

    async def ask(self, address: str, number: int) -> TargetStatus | None:
        """Return an agent's status; None if it does not answer."""
        host = address.rpartition(":")[0]
        url = (
            f"http://{host}:{self.agent_port}{STATUS_PATH}"
            f"?after={number}&router={self.router}"
        )
        answered = await self.json.call("GET", url, TargetStatus)
        return answered.ok if answered.is_ok() else None
