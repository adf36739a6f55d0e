"""The users' platform in memory, for the soak: store, targets and caches.

What the targets really do is kept here, and the promises that can be judged
there are asserted: one run of what must not repeat, keys, cached parts, the
memory of runs, and who gives orders.
"""

import random
from collections import Counter
from collections.abc import Callable
from typing import Final

import attrs
from expression import Error, Ok, Result

from sequoiawind import invariants, timing
from sequoiawind.forward_ports import (
    AnswerHead,
    AttemptSink,
    CacheChanges,
    MoveOrder,
    SendOrder,
)
from sequoiawind.forward_state import ForwardTarget
from sequoiawind.lab.memory_network import Node
from sequoiawind.lab.virtual_clock import VirtualClock
from sequoiawind.ports import Clock
from sequoiawind.record_ports import (
    KeyedPage,
    KeyedRecord,
    ReadFailure,
    RecordsLost,
)
from sequoiawind.rollout import LoadOrder, OrderOutcome, TargetReport
from sequoiawind.verdict import Failure, Reason, may_have_run, not_run

MODEL: Final = "m"
CACHE_STORE: Final = "cache-store:1"
LATENCY_S: Final = 0.001
STORE_POLL_S: Final = 0.08
WORK_S: Final = 0.03
EVENT_S: Final = 0.04
LOAD_S: Final = 0.3
LOST: Final = may_have_run(Reason.CONNECTION_LOST, "lost")
AWAY: Final = not_run(Reason.LOG_UNAVAILABLE, "the store turned it away")


@attrs.frozen(kw_only=True)
class Origin:
    """Who made a cached part, and of which weights."""

    account: str
    version: int


@attrs.define(kw_only=True)
class Luck:
    """Shares of what goes wrong, while a fault lasts."""

    lost: float = 0.0
    hung: float = 0.0
    failed: float = 0.0
    busy: float = 0.0
    late_orders: float = 0.0
    stopped_moves: float = 0.1


@attrs.define(kw_only=True, eq=False)
class World:
    """All that is shared."""

    clock: VirtualClock
    random: random.Random
    revoke_s: float
    isolated: frozenset[str]
    luck: Luck = attrs.field(factory=Luck)
    targets: dict[str, "ModelTarget"] = attrs.field(factory=dict)
    # Records by topic, and the nodes that the store turns away.
    topics: dict[str, list[KeyedRecord]] = attrs.field(factory=dict)
    turned_away: set[str] = attrs.field(factory=set)
    forgets: bool = False
    # Objects that records stand for.
    objects: list[object] = attrs.field(factory=list)
    runs: Counter[str] = attrs.field(factory=Counter)
    revoked_s: dict[str, float] = attrs.field(factory=dict)
    kept: dict[tuple[str, str], Origin] = attrs.field(factory=dict)
    counts: Counter[str] = attrs.field(factory=Counter)

    def happens(self, share: float) -> bool:
        """Draw whether something goes wrong."""
        return self.random.random() < share

    def write(self, topic: str, key: str, value: object | None) -> None:
        """Write a record; None drops its key."""
        data = None
        if value is not None:
            self.objects.append(value)
            data = b"%d" % (len(self.objects) - 1)
        records = self.topics.setdefault(topic, [])
        records.append(KeyedRecord(key=key, value=data))

    def at(self, address: str) -> "ModelTarget | None":
        """Return the target that serves at an address now."""
        found = [
            target
            for target in self.targets.values()
            if target.entry.address == address and target.is_up
        ]
        return found[0] if found else None

    def check_key(self, request_id: str, key: str) -> None:
        """A key that was taken away stops working in time."""
        gone_s = self.revoked_s.get(key, float("inf"))
        late_s = self.clock.seconds() - gone_s
        invariants.check(
            late_s <= self.revoke_s, "keys", f"{request_id}, {late_s:.2f} s"
        )

    def check_part(self, origin: Origin, account: str, version: int) -> None:
        """No cached part of other weights, or beyond an isolated account."""
        invariants.check(
            origin.version == version,
            "cache-version",
            f"made of {origin.version}, used under {version}",
        )
        is_walled = {origin.account, account} & self.isolated
        invariants.check(
            origin.account == account or not is_walled,
            "cache-account",
            f"made for {origin.account}, used for {account}",
        )


@attrs.define(kw_only=True, eq=False)
class StorePort:
    """One process's way to the store."""

    world: World
    node: str
    clock: Clock

    async def newest(
        self, topic: str, after: str, timeout_s: float
    ) -> Result[KeyedPage, ReadFailure]:
        """Return the newest record of each key."""
        await timing.sleep(self.clock, LATENCY_S)
        if self.node in self.world.turned_away:
            return Error(AWAY)
        records = self.world.topics.get(topic, [])
        newest = {record.key: record for record in records}
        kept = [item for item in newest.values() if item.value is not None]
        return Ok(KeyedPage(records=kept, end=len(records)))

    async def read(
        self, topic: str, start: int, wait_s: float, timeout_s: float
    ) -> Result[KeyedPage, ReadFailure]:
        """Return the records from an offset on, waiting for a first one."""
        ends_s = self.clock.seconds() + wait_s
        while True:
            await timing.sleep(self.clock, STORE_POLL_S)
            if self.node in self.world.turned_away:
                return Error(AWAY)
            if self.world.forgets:
                return Error(RecordsLost())
            records = self.world.topics.get(topic, [])
            if len(records) > start or self.clock.seconds() >= ends_s:
                return Ok(KeyedPage(records=records[start:], end=len(records)))


@attrs.define(kw_only=True, eq=False)
class ModelRun:
    """A request at work; also the call by which its router cancels it."""

    target: "ModelTarget"
    order: SendOrder
    sink: AttemptSink
    node: Node
    epoch: int
    event: int = 0
    is_over: bool = False

    def cancel(self) -> None:
        """Stop; nothing more is delivered."""
        self.is_over = True
        self.target.runs.pop(self.order.request.request_id, None)

    def tell(self, action: Callable[[], None]) -> None:
        """Deliver something to the router."""

        def deliver() -> None:
            if not self.is_over:
                action()

        clock = self.target.world.clock
        clock.callLater(LATENCY_S, self.node.run, self.epoch, deliver)

    def end(self, action: Callable[[], None]) -> None:
        """Deliver the end of the answer."""
        self.target.runs.pop(self.order.request.request_id, None)
        self.tell(action)

    def refuse(self, reason: Reason) -> None:
        """Tell that the request was not run."""
        head = AnswerHead(status=503, headers=[], refusal=not_run(reason))
        self.tell(lambda: self.sink.head(head))
        self.end(self.sink.done)

    def go_on(self) -> None:
        """Make the next event, or end."""
        if self.is_over or not self.target.is_up:
            return
        request_id = self.order.request.request_id
        if request_id not in self.target.runs:
            return
        if self.event >= events_of(request_id):
            self.end(self.sink.done)
            return
        self.event += 1
        data = event_bytes(request_id, self.event)
        self.tell(lambda: self.sink.data(data))
        if self.target.world.happens(self.target.world.luck.lost / 10):
            self.end(lambda: self.sink.failed(LOST))
            return
        if not self.target.world.happens(self.target.world.luck.hung / 10):
            self.target.world.clock.callLater(EVENT_S, self.go_on)


@attrs.define(kw_only=True, eq=False)
class ModelTarget:
    """One incarnation of a target; also what its agent asks."""

    world: World
    entry: ForwardTarget
    version: int = 1
    is_up: bool = True
    is_loading: bool = False
    orders: int = 0
    runs: dict[str, ModelRun] = attrs.field(factory=dict)
    cache: dict[tuple[str, str], Origin] = attrs.field(factory=dict)
    # Request id and weights version of the runs whose memory was copied here.
    memories: dict[str, tuple[str, int]] = attrs.field(factory=dict)
    holders: set[str] = attrs.field(factory=set)

    def arrive(self, run: ModelRun) -> None:
        """Take a request, or refuse it."""
        order = run.order
        if not self.is_up or run.is_over:
            run.tell(
                lambda: run.sink.failed(not_run(Reason.CONNECT_FAILED, "gone"))
            )
        elif order.target.name != self.entry.name:
            run.refuse(Reason.TARGET_REPLACED)
        elif self.is_loading or self.world.happens(self.world.luck.busy):
            run.refuse(Reason.TARGET_BUSY)
        elif order.version not in (None, self.version):
            run.refuse(Reason.TARGET_REPLACED)
        elif order.moved_from and not self.has_memory(order):
            run.refuse(Reason.TARGET_BUSY)
        else:
            self.start(run)

    def has_memory(self, order: SendOrder) -> bool:
        """Whether the memory of a moved run is here; it is used once."""
        memory = self.memories.pop(order.moved_from, None)
        if memory is None:
            return False
        request_id, version = memory
        invariants.check(
            request_id == order.request.request_id
            and version == self.version
            and order.after_event is not None,
            "own-memory",
            f"{order.request.request_id} goes on from {memory}",
        )
        return True

    def start(self, run: ModelRun) -> None:
        """Run a request."""
        order, world = run.order, self.world
        request = order.request
        self.runs[request.request_id] = run
        world.check_key(request.request_id, request.key)
        if not order.moved_from:
            world.runs[request.request_id] += 1
        if request.prompt is None:
            world.clock.callLater(WORK_S, self.answer_call, run)
            return
        if not order.moved_from:
            self.read(order)
        run.event = order.after_event or 0
        head = AnswerHead(status=200, headers=[])
        run.tell(lambda: run.sink.head(head))
        if not world.happens(world.luck.hung):
            world.clock.callLater(WORK_S, run.go_on)

    def read(self, order: SendOrder) -> None:
        """Read a prompt, with what is cached here and where it may fetch."""
        prompt, world = order.request.prompt, self.world
        if prompt is None:
            return
        source = world.at(order.source)
        for part in prompt.parts:
            key = (order.salt, part.id)
            origin = self.cache.get(key)
            if origin is None and source is not None:
                origin = source.cache.get(key)
            if origin is None and order.source == CACHE_STORE:
                origin = world.kept.get(key)
            if origin is None:
                origin = Origin(account=order.account, version=self.version)
            else:
                world.counts["cached parts used"] += 1
            world.check_part(origin, order.account, self.version)
            self.cache[key] = origin
            if order.cache_store:
                world.kept.setdefault(key, origin)

    def answer_call(self, run: ModelRun) -> None:
        """Answer a call to a plain service."""
        world, luck = self.world, self.world.luck
        if run.is_over or not self.is_up or world.happens(luck.hung):
            return
        if world.happens(luck.lost):
            run.end(lambda: run.sink.failed(LOST))
            return
        status = 500 if world.happens(luck.failed) else 200
        head = AnswerHead(status=status, headers=[])
        body = run.order.request.request_id.encode()
        run.tell(lambda: run.sink.head(head))
        run.tell(lambda: run.sink.data(body))
        run.end(run.sink.done)

    def crash(self) -> None:
        """End; connections break."""
        self.is_up = False
        for run in list(self.runs.values()):
            run.end(lambda run=run: run.sink.failed(LOST))  # type: ignore[misc]

    def move(self, order: MoveOrder) -> Result[str, Failure]:
        """Stop a run and copy its memory."""
        world = self.world
        run = self.runs.get(order.request_id)
        if run is None or not self.is_up:
            return Error(may_have_run(Reason.TARGET_ERROR, "no such run"))
        run.end(lambda: run.sink.failed(LOST))
        destination = world.at(order.destination.address)
        is_stopped = world.happens(world.luck.stopped_moves)
        if destination is None or is_stopped:
            return Error(may_have_run(Reason.TARGET_ERROR, "no room"))
        handle = (
            f"{self.entry.address}/{len(destination.memories)}"
            f"-{order.request_id}"
        )
        destination.memories[handle] = (order.request_id, self.version)
        world.counts["runs moved"] += 1
        return Ok(handle)

    # What the agent asks.

    async def report(
        self, address: str, timeout_s: float
    ) -> Result[TargetReport, Failure]:
        """Return the report of the target that serves at an address now."""
        now = self.world.at(address)
        if now is None:
            return Error(not_run(Reason.CONNECT_FAILED, "gone"))
        return Ok(now.make_report())

    def make_report(self) -> TargetReport:
        """Return the target's report on itself."""
        return TargetReport(
            versions={MODEL: self.version},
            is_busy=self.is_loading,
            orders=self.orders,
            waiting=0,
            running=len(self.runs),
            runs=tuple(run.event for run in self.runs.values() if run.event),
            used_tokens=0,
            is_draining=self.entry.is_draining,
            born_ms=self.entry.born_ms,
        )

    async def order(
        self, address: str, target: str, order: LoadOrder, timeout_s: float
    ) -> Result[OrderOutcome, Failure]:
        """Order the target at an address to load weights."""
        now, world = self.world.at(address), self.world
        if now is None or now.entry.name != target:
            return Error(not_run(Reason.TARGET_REPLACED, "another"))
        if world.happens(world.luck.late_orders):
            later_s = world.random.uniform(0.5, 6.0)
            world.clock.callLater(later_s, now.take_order, order)
            return Error(may_have_run(Reason.START_TIMEOUT, "late"))
        return Ok(now.take_order(order))

    def take_order(self, order: LoadOrder) -> OrderOutcome:
        """Carry an order out if its condition holds."""
        if not self.is_up or self.is_loading:
            return OrderOutcome.REFUSED
        if order.after_orders != self.orders:
            return OrderOutcome.REFUSED
        self.holders.add(order.holder)
        invariants.check(
            len(self.holders) == 1, "one-holder", str(sorted(self.holders))
        )
        invariants.check(
            order.version > self.version,
            "weights-forward",
            f"{order.version} ordered after {self.version}",
        )
        self.orders += 1
        self.is_loading = True
        self.finish_load(order.version)
        return OrderOutcome.ACCEPTED

    def finish_load(self, version: int) -> None:
        """Load once the runs have ended."""
        if not self.is_up:
            return
        if self.runs:
            self.world.clock.callLater(EVENT_S, self.finish_load, version)
            return

        def loaded() -> None:
            self.version = version
            self.cache.clear()
            self.memories.clear()
            self.is_loading = False

        self.world.clock.callLater(LOAD_S, loaded)


@attrs.define(kw_only=True, eq=False)
class TargetPorts:
    """One router's way to targets; implements `ForwardPort`, `CachePort`."""

    world: World
    node: Node

    def send(self, order: SendOrder, sink: AttemptSink) -> ModelRun:
        """Send a request to whoever serves at the target's address."""
        world = self.world
        target = world.at(order.target.address)
        known = target or world.targets[order.target.name]
        run = ModelRun(
            target=known,
            order=order,
            sink=sink,
            node=self.node,
            epoch=self.node.epoch,
        )
        world.clock.callLater(LATENCY_S, known.arrive, run)
        return run

    async def move(
        self, order: MoveOrder, timeout_s: float
    ) -> Result[str, Failure]:
        """Stop a run and copy its memory to another target."""
        await timing.sleep(self.world.clock, LATENCY_S)
        return self.world.targets[order.source.name].move(order)

    def release_moved_run(self, moved_from: str) -> None:
        """Free the memory of a run that nobody goes on with."""
        for target in self.world.targets.values():
            target.memories.pop(moved_from, None)

    async def cache_changes(
        self, address: str, since: int, wait_s: float, timeout_s: float
    ) -> Result[CacheChanges, Failure]:
        """Tell that there are watchers enough."""
        await timing.sleep(self.world.clock, LATENCY_S)
        return Error(not_run(Reason.TARGET_BUSY))


def events_of(request_id: str) -> int:
    """Return how many events the answer to a request has."""
    return 3 + sum(request_id.encode()) % 40


def event_bytes(request_id: str, number: int) -> bytes:
    """Return an event of the answer to a request."""
    return b"id: %d\ndata: %s-%d\n\n" % (number, request_id.encode(), number)
