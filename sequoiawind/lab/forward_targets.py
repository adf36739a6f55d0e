"""The modelled targets, plain services and engines, of the forwarding soak.

They check the promises that show at the targets: cached parts are used only
for the weights and accounts they are for, a moved run resumes from its own
memory, and a target gets its orders to load weights from one agent only.
"""

from collections.abc import Callable

import attrs
from expression import Error, Ok, Result

from sequoiawind import invariants
from sequoiawind.forward_ports import AnswerHead, MoveOrder, SendOrder
from sequoiawind.forward_state import ForwardTarget
from sequoiawind.headers import Framing
from sequoiawind.lab.forward_checks import StatedLimit
from sequoiawind.lab.forward_runs import RunEnd, SimulatedRun
from sequoiawind.lab.forward_world import (
    CACHE_STORE,
    CLOSE_DELIMITED_SHARE,
    EVENT_S,
    LATENCY_S,
    LOAD_S,
    LOST,
    MODEL,
    WORK_S,
    Origin,
    World,
)
from sequoiawind.rollout import LoadOrder, OrderOutcome, TargetReport
from sequoiawind.verdict import Failure, Reason, may_have_run, not_run


@attrs.define(kw_only=True, eq=False)
class SimulatedTarget:
    """One incarnation of a target; also the `TargetPort` of agents."""

    world: World
    entry: ForwardTarget
    version: int = 1
    is_up: bool = True
    is_loading: bool = False
    orders: int = 0
    runs: dict[str, SimulatedRun] = attrs.field(factory=dict)
    cache: dict[tuple[str, str], Origin] = attrs.field(factory=dict)
    # Request id and weights version of the runs whose memory was copied here,
    # by handle.
    memories: dict[str, tuple[str, int]] = attrs.field(factory=dict)
    # The limit that it states; None if it states none.
    limit: StatedLimit | None = None
    # Until when its runs stand still, in seconds of the clock.
    silent_until_s: float = 0.0
    # Agents whose orders this incarnation has accepted.
    holders: set[str] = attrs.field(factory=set)

    def arrive(self, run: SimulatedRun) -> None:
        """Start a request that has arrived, or refuse it."""
        order = run.order
        if not self.is_up or run.is_cancelled:
            failure = not_run(Reason.CONNECT_FAILED, "target is down")
            run.finish(RunEnd.REFUSED, lambda: run.sink.failed(failure))
            return
        self.count_arrival(run)
        if order.target.name != self.entry.name:
            run.refuse(Reason.TARGET_REPLACED)
        elif self.is_loading or self.world.happens(self.world.fault_rates.busy):
            run.refuse(Reason.TARGET_BUSY)
        elif order.version not in (None, self.version):
            run.refuse(Reason.TARGET_REPLACED)
        elif order.moved_from and not self.take_memory(order):
            run.refuse(Reason.TARGET_BUSY)
        else:
            self.start(run)

    def count_arrival(self, run: SimulatedRun) -> None:
        """Count a request that has arrived."""
        order, now_s = run.order, self.world.clock.seconds()
        request = order.request
        if self.limit is not None:
            self.limit.add((run.node.name, run.epoch), now_s)
        if not order.moved_from:
            pool = self.world.arrivals[self.entry.pool]
            pool.add(request.request_id, now_s)
        crashing = self.world.crashing_of(request)
        if crashing is not None:
            crashing.arrivals_s.append(now_s)

    def take_memory(self, order: SendOrder) -> bool:
        """Remove the memory of a moved run; return whether it was here."""
        memory = self.memories.pop(order.moved_from, None)
        if memory is None:
            return False
        request_id, version = memory
        invariants.check(
            request_id == order.request.request_id
            and version == self.version
            and order.after_event is not None,
            "own-memory",
            f"{order.request.request_id} resumed from memory of {memory}",
        )
        return True

    def start(self, run: SimulatedRun) -> None:
        """Start a run."""
        order, world = run.order, self.world
        request = order.request
        self.runs[request.request_id] = run
        world.check_key(request.request_id, request.key)
        if not order.moved_from:
            world.runs[request.request_id] += 1
        if request.prompt is None:
            is_fatal = world.crashing_of(request) is not None
            action = self.crash_by if is_fatal else self.answer_call
            self.work(WORK_S, action, run)
            return
        if not order.moved_from:
            self.read_prompt(order)
        self.work(0.0, self.begin_stream, run)

    def work(
        self,
        delay_s: float,
        action: Callable[[SimulatedRun], None],
        run: SimulatedRun,
    ) -> None:
        """Go on with a run after a delay, but not during a silence."""
        clock = self.world.clock

        def act() -> None:
            left_s = self.silent_until_s - clock.seconds()
            if left_s > 0.0:
                clock.callLater(max(left_s, LATENCY_S), act)
            else:
                action(run)

        clock.callLater(delay_s, act)

    def begin_stream(self, run: SimulatedRun) -> None:
        """Send the head of a stream, and start to work on its events."""
        order, world = run.order, self.world
        if run.is_cancelled or not self.is_up:
            return
        request = order.request
        run.event = order.after_event or int(request.last_event_id or 0)
        run.is_close_delimited = world.happens(CLOSE_DELIMITED_SHARE)
        framing = (
            Framing.CONNECTION if run.is_close_delimited else Framing.CHUNKS
        )
        head = AnswerHead(
            status=200,
            headers=[],
            framing=framing,
            limit_per_s=self.stated_per_s,
        )
        if self.limit is not None:
            sender = (run.node.name, run.epoch)
            self.limit.told_s.setdefault(sender, world.clock.seconds())
        run.send_back(lambda: run.sink.head(head))
        if world.crashing_of(request) is not None:
            self.work(WORK_S, self.crash_by, run)
        elif world.happens(world.fault_rates.hung):
            run.is_hung = True
        else:
            self.work(WORK_S, SimulatedRun.produce_event, run)

    def read_prompt(self, order: SendOrder) -> None:
        """Read a prompt, using parts cached here or at the order's source."""
        prompt, world = order.request.prompt, self.world
        if prompt is None:
            return
        source = world.target_at(order.source)
        for part in prompt.parts:
            key = (order.salt, part.id)
            origin = self.cache.get(key)
            if origin is None and source is not None:
                origin = source.cache.get(key)
            if origin is None and order.source == CACHE_STORE:
                origin = world.cache_store_parts.get(key)
            if origin is None:
                origin = Origin(account=order.account, version=self.version)
            else:
                world.counts["cached parts used"] += 1
            world.check_part(origin, order.account, self.version)
            self.cache[key] = origin
            if order.cache_store:
                world.cache_store_parts.setdefault(key, origin)

    def answer_call(self, run: SimulatedRun) -> None:
        """Answer a call to a plain service."""
        world, rates = self.world, self.world.fault_rates
        if run.is_cancelled or not self.is_up:
            return
        if world.happens(rates.hung):
            run.is_hung = True
            return
        if world.happens(rates.lost):
            run.finish(RunEnd.BROKEN, lambda: run.sink.failed(LOST))
            return
        status = 500 if world.happens(rates.failed) else 200
        head = AnswerHead(status=status, headers=[])
        body = run.order.request.request_id.encode()
        run.send_back(lambda: run.sink.head(head))
        run.send_back(lambda: run.sink.data(body))
        run.finish(RunEnd.DONE, run.sink.done)

    @property
    def stated_per_s(self) -> float | None:
        """The limit that it states, in requests a second; None for none."""
        return self.limit.limit_per_s if self.limit is not None else None

    def crash_by(self, run: SimulatedRun) -> None:
        """Crash, as a run begins to write its answer."""
        request = run.order.request
        crashing = self.world.crashing_of(request)
        is_running = self.is_up and request.request_id in self.runs
        if is_running and crashing is not None:
            crashing.crashes_s.append(self.world.clock.seconds())
            self.world.on_fatal(self, request)

    def crash(self) -> None:
        """End the target and break its connections."""
        self.is_up = False
        for run in list(self.runs.values()):
            run.break_off()

    def reserve_move(self, order: MoveOrder) -> Result[str, Failure]:
        """Copy a run's memory to another target while it goes on."""
        if order.request_id not in self.runs or not self.is_up:
            return Error(not_run(Reason.TARGET_ERROR, "no such run"))
        goal = self.world.target_at(order.destination.address)
        if goal is None or self.world.happens(
            self.world.fault_rates.failed_moves
        ):
            self.world.counts["moves without room"] += 1
            return Error(may_have_run(Reason.TARGET_ERROR, "no room"))
        return Ok(f"{self.entry.address}/reserved-{order.request_id}")

    def move(self, order: MoveOrder) -> Result[str, Failure]:
        """Stop a run and copy its memory to another target."""
        world = self.world
        run = self.runs.get(order.request_id)
        if run is None or not self.is_up:
            return Error(not_run(Reason.TARGET_ERROR, "no such run"))
        destination = world.target_at(order.destination.address)
        is_failed = world.happens(world.fault_rates.failed_moves)
        is_lost = destination is None or is_failed
        run.stop(RunEnd.BROKEN if is_lost else RunEnd.MOVED)
        if destination is None or is_failed:
            return Error(may_have_run(Reason.TARGET_ERROR, "copying failed"))
        handle = (
            f"{self.entry.address}/{len(destination.memories)}"
            f"-{order.request_id}"
        )
        destination.memories[handle] = (order.request_id, self.version)
        world.counts["runs moved"] += 1
        return Ok(handle)

    # Calls by agents.

    async def report(
        self, address: str, timeout_s: float
    ) -> Result[TargetReport, Failure]:
        """Return the report of the target that serves at an address now."""
        current = self.world.target_at(address)
        if current is None:
            return Error(not_run(Reason.CONNECT_FAILED, "no target is up"))
        return Ok(current.make_report())

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
            limit_per_s=self.stated_per_s,
        )

    async def order(
        self, address: str, target: str, order: LoadOrder, timeout_s: float
    ) -> Result[OrderOutcome, Failure]:
        """Order the target at an address to load weights."""
        current, world = self.world.target_at(address), self.world
        if current is None or current.entry.name != target:
            return Error(not_run(Reason.TARGET_REPLACED, "target replaced"))
        if world.happens(world.fault_rates.late_orders):
            delay_s = world.random.uniform(0.5, 6.0)
            world.clock.callLater(delay_s, current.take_order, order)
            return Error(may_have_run(Reason.START_TIMEOUT, "order delayed"))
        return Ok(current.take_order(order))

    def take_order(self, order: LoadOrder) -> OrderOutcome:
        """Start to load the weights, or refuse the order."""
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
            f"version {order.version} ordered while {self.version} is loaded",
        )
        self.orders += 1
        self.is_loading = True
        self.finish_load(order.version)
        return OrderOutcome.ACCEPTED

    def finish_load(self, version: int) -> None:
        """Load a version as soon as all runs have ended."""
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
