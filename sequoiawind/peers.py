"""Controllers that call other daemons and read the platform's VM list."""

import random
from collections.abc import Callable, Sequence
from typing import Any

import attrs
from expression import Result
from twisted.internet.defer import Deferred

from sequoiawind import config_fold, defaults, timing
from sequoiawind.blackboard import Blackboard
from sequoiawind.http_client import JsonClient
from sequoiawind.members import VmState
from sequoiawind.options import Address
from sequoiawind.ports import Clock
from sequoiawind.reports import DaemonReport
from sequoiawind.verdict import Failure
from sequoiawind.wire import DemandMessage


@attrs.define(kw_only=True)
class PeerClient:
    """Calls to other daemons."""

    json: JsonClient

    def report(self, address: str) -> Deferred[Result[DaemonReport, Failure]]:
        """Request the report of a daemon."""
        url = f"http://{address}/peer/report"
        return Deferred.fromCoroutine(self.json.call("GET", url, DaemonReport))

    async def config(self, address: Address, board: Blackboard) -> bool:
        """Adopt a peer's configuration; return False if it is not newer."""
        url = f"http://{address}/peer/config"
        answer = await self.json.call("GET", url, config_fold.Snapshot)
        if answer.is_error():
            return False
        restored = config_fold.verify_snapshot(answer.ok)
        return restored is not None and board.offer_config(restored)

    async def send_demand(
        self, address: Address, message: DemandMessage
    ) -> None:
        """Send the demand that this router sees to another router."""
        url = f"http://{address}/peer/demand"
        await self.json.call("POST", url, dict[str, Any], message)


@attrs.define(kw_only=True)
class ConfigFetcher:
    """Controller that gets a first configuration from any peer."""

    peers: PeerClient
    board: Blackboard
    clock: Clock
    addresses: Sequence[Address]
    pause_s: float = 0.2
    # Called when there is a configuration; possibly more than once.
    on_found: Callable[[], None] = attrs.field(default=lambda: None)

    async def run(self) -> None:
        """Poll all peers until there is a configuration from any source."""
        while self.board.folded.next_offset == 0:
            for address in self.addresses:
                Deferred.fromCoroutine(self.fetch(address))
            await timing.sleep(self.clock, self.pause_s)
        self.on_found()

    async def fetch(self, address: Address) -> None:
        """Request the configuration of one peer."""
        if await self.peers.config(address, self.board):
            self.on_found()


@attrs.define(kw_only=True)
class DemandSender:
    """Controller that sends the demand by account to the other routers."""

    name: str
    peers: PeerClient
    board: Blackboard
    clock: Clock
    addresses: Sequence[Address]

    async def run(self) -> None:
        """Send the demand once per period until the process ends."""
        self.board.limits.period_s = self.period_s()
        while True:
            await timing.sleep(self.clock, self.board.limits.period_s)
            demand = self.board.limits.end_period()
            message = DemandMessage(router=self.name, demand=demand)
            for address in self.addresses:
                Deferred.fromCoroutine(self.peers.send_demand(address, message))

    def period_s(self) -> float:
        """Return the time between messages in seconds.

        It grows with the number of routers: every router sends to every other,
        within a budget in bytes per second.
        """
        bytes_per_round = len(self.addresses) * defaults.DEMAND_MESSAGE_B
        return max(
            defaults.LIMIT_SHARE_PERIOD_S,
            bytes_per_round / defaults.DEMAND_BUDGET_B_PER_S,
        )


@attrs.frozen(kw_only=True)
class VmEntry:
    """An entry of the platform's list of VMs."""

    vm: str
    # "live" or "leaving".
    state: str


@attrs.define(kw_only=True)
class VmListWatcher:
    """Controller that follows the platform's list of VMs."""

    json: JsonClient
    address: Address
    board: Blackboard
    clock: Clock
    random: random.Random

    async def run(self) -> None:
        """Poll the list until the process ends."""
        while True:
            await self.round()
            pause_s = timing.jittered(self.period_s(), 0.2, self.random)
            await timing.sleep(self.clock, pause_s)

    def period_s(self) -> float:
        """Return the time between polls in seconds.

        It grows with the list: a poll transfers all of it, within a budget in
        bytes per second.
        """
        size_b = len(self.board.members.vms) * defaults.VM_LIST_LINE_B
        budget_s = size_b / defaults.VM_LIST_BUDGET_B_PER_S
        return max(defaults.VM_LIST_POLL_S, budget_s)

    async def round(self) -> None:
        """Read the list once; a failed read changes nothing."""
        url = f"http://{self.address}/vms"
        answer = await self.json.call("GET", url, list[VmEntry])
        if answer.is_error():
            return
        self.board.members.vms = {
            entry.vm: vm_state(entry.state) for entry in answer.ok
        }


def vm_state(text: str) -> VmState:
    """Parse a VM's state in the list; an unknown state counts as live."""
    if text == VmState.LEAVING.value:
        return VmState.LEAVING
    return VmState.LIVE
