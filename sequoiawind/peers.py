"""Controllers that talk to other daemons and to the platform's VM list."""

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
        """Ask a daemon for its report."""
        url = f"http://{address}/peer/report"
        return Deferred.fromCoroutine(self.json.call("GET", url, DaemonReport))

    async def config(self, address: Address, board: Blackboard) -> bool:
        """Take a peer's configuration if it is newer than the board's."""
        url = f"http://{address}/peer/config"
        answer = await self.json.call("GET", url, config_fold.Snapshot)
        if answer.is_error():
            return False
        restored = config_fold.verify_snapshot(answer.ok)
        return restored is not None and board.offer_config(restored)

    async def tell_demand(self, address: Address, told: DemandMessage) -> None:
        """Tell a router what demand this one sees."""
        url = f"http://{address}/peer/demand"
        await self.json.call("POST", url, dict[str, Any], told)


@attrs.define(kw_only=True)
class ConfigSeeker:
    """Gets a first configuration from whichever peer answers."""

    peers: PeerClient
    board: Blackboard
    clock: Clock
    addresses: Sequence[Address]
    pause_s: float = 0.2
    # Called when there is a configuration.
    on_found: Callable[[], None] = attrs.field(default=lambda: None)

    async def run(self) -> None:
        """Ask all peers until there is a configuration from anywhere."""
        while self.board.folded.next_offset == 0:
            for address in self.addresses:
                Deferred.fromCoroutine(self.ask(address))
            await timing.sleep(self.clock, self.pause_s)
        self.on_found()

    async def ask(self, address: Address) -> None:
        """Ask one peer."""
        if await self.peers.config(address, self.board):
            self.on_found()


@attrs.define(kw_only=True)
class DemandTeller:
    """Tells the other routers the demand by account."""

    name: str
    peers: PeerClient
    board: Blackboard
    clock: Clock
    addresses: Sequence[Address]

    async def run(self) -> None:
        """Tell once a period."""
        self.board.limits.period_s = self.period_s()
        while True:
            await timing.sleep(self.clock, self.board.limits.period_s)
            demand = self.board.limits.exchange()
            told = DemandMessage(router=self.name, demand=demand)
            for address in self.addresses:
                Deferred.fromCoroutine(self.peers.tell_demand(address, told))

    def period_s(self) -> float:
        """Return the time between messages: longer with more routers.

        Every router tells every other, within a budget in bytes a second.
        """
        bytes_a_round = len(self.addresses) * defaults.DEMAND_MESSAGE_B
        return max(
            defaults.LIMIT_SHARE_PERIOD_S,
            bytes_a_round / defaults.DEMAND_BUDGET_B_PER_S,
        )


@attrs.frozen(kw_only=True)
class VmEntry:
    """A line of the platform's list of VMs."""

    vm: str
    # "live" or "leaving".
    state: str


@attrs.define(kw_only=True)
class VmListWatcher:
    """Follows the platform's list of VMs."""

    json: JsonClient
    address: Address
    board: Blackboard
    clock: Clock
    random: random.Random

    async def run(self) -> None:
        """Poll the list."""
        while True:
            await self.round()
            pause_s = timing.jittered(self.period_s(), 0.2, self.random)
            await timing.sleep(self.clock, pause_s)

    def period_s(self) -> float:
        """Return the time between polls: longer for a longer list.

        A poll transfers the whole list, which has a budget in bytes a second.
        """
        size_b = len(self.board.members.vms) * defaults.VM_LIST_LINE_B
        budget_s = size_b / defaults.VM_LIST_BUDGET_B_PER_S
        return max(defaults.VM_LIST_POLL_S, budget_s)

    async def round(self) -> None:
        """Read the list once; an unreadable one changes nothing."""
        url = f"http://{self.address}/vms"
        answer = await self.json.call("GET", url, list[VmEntry])
        if answer.is_error():
            return
        self.board.members.vms = {
            entry.vm: vm_state(entry.state) for entry in answer.ok
        }


def vm_state(text: str) -> VmState:
    """Return a VM's state as the list writes it."""
    if text == VmState.LEAVING.value:
        return VmState.LEAVING
    return VmState.LIVE
