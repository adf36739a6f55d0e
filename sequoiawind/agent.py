"""The agent, through which all work for one target passes.

It admits or refuses each attempt, queues it fairly, passes it to the target,
and keeps the chunks for a while, so that a router whose connection broke can
resume.  It holds the index of the engine's cache, and refuses new work while
the target is drained or the agent shuts down.
"""

from collections import OrderedDict
from collections.abc import Callable
from functools import partial

import attrs

from sequoiawind import defaults, invariants, messages, prefix
from sequoiawind.admission import FairQueue, Job
from sequoiawind.cache_index import CacheIndex
from sequoiawind.ports import Call, Clock, Sink, TargetPort, Timer
from sequoiawind.state import State
from sequoiawind.verdict import Failure, Reason, may_have_run, not_run
from sequoiawind.wire import (
    Attempt,
    Ended,
    LoadReport,
    Probe,
    ProbeAnswer,
)


@attrs.define(kw_only=True)
class Relay:
    """One attempt at the agent; receives the target's answer to it."""

    agent: "Agent"
    attempt: Attempt
    # Passes events on to the router; None while no router is connected.
    sink: Sink | None
    # Hashes of the engine blocks of the prompt.
    chain: list[int]
    job: Job | None = None
    call: Call | None = None
    # Chunks by index, kept for a resume.
    chunks: dict[int, bytes] = attrs.field(factory=dict)
    end: Ended | None = None
    # Cancels the attempt; set while no router is connected.
    orphan_timer: Timer | None = None

    def started(self, load: LoadReport) -> None:
        """Do nothing: the router was notified when the agent admitted it."""

    def chunk(self, attempt_id: str, index: int, data: bytes) -> None:
        """Pass a chunk on, unless it belongs to another attempt."""
        if attempt_id != self.attempt.attempt_id or self.end is not None:
            self.agent.on_event("foreign_chunk")
            return
        if not self.chunks:
            self.agent.on_first_token(attempt_id)
        self.chunks[index] = data
        if self.sink is not None:
            self.sink.chunk(attempt_id, index, data)

    def ended(self, ended: Ended) -> None:
        """Record the end of the attempt and pass it on to the router."""
        if self.end is not None:
            return
        load = self.agent.load()
        self.end = attrs.evolve(ended, load=load)
        self.agent.finished(self)
        if self.sink is not None:
            self.sink.ended(self.end)


@attrs.define(kw_only=True)
class AgentCall:
    """A router's handle for an attempt at the agent."""

    agent: "Agent"
    relay: Relay
    # What this handle's connection passes events to.
    sink: Sink

    def cancel(self) -> None:
        """Stop the attempt, because its caller has disconnected."""
        self.agent.cancel(self.relay)

    def detach(self) -> None:
        """Record that the router's connection broke; the router may resume.

        It may have resumed before this end of the connection was noticed.
        """
        if self.relay.sink is self.sink:
            self.agent.detach(self.relay)


@attrs.define(kw_only=True)
class Agent:
    """Admission, fair queue, cache index and draining for one target."""

    target: str
    # The target's own address.
    address: str
    port: TargetPort
    clock: Clock
    # "engine" or "plain".
    service: str = "engine"
    # Whether the target refuses an order with an older fencing number.
    checks_fencing: bool = True
    block_bytes: int = defaults.ENGINE_BLOCK_BYTES
    queue: FairQueue = attrs.field(factory=FairQueue)
    index: CacheIndex = attrs.field(factory=CacheIndex)
    # Weights version that the target was last seen to serve.
    version: str = ""
    # Why no new work is accepted; empty if it is accepted.
    drain_reason: str = ""
    is_shutting_down: bool = False
    # Whether the target is being ordered to load weights, which ends its work.
    is_ordering: bool = False
    relays: OrderedDict[str, Relay] = attrs.field(factory=OrderedDict)
    # Maps recent placement blocks to the engine block at the end of each.
    placement_blocks: OrderedDict[int, int] = attrs.field(factory=OrderedDict)
    # Called with the name of each event, for metrics.
    on_event: Callable[[str], None] = attrs.field(default=lambda name: None)
    is_tick_scheduled: bool = False

    def open(self, address: str, attempt: Attempt, sink: Sink) -> AgentCall:
        """Admit an attempt, refuse it, or resume an earlier one."""
        if attempt.resume_of:
            return self.resume(attempt, sink)
        relay = Relay(agent=self, attempt=attempt, sink=sink, chain=[])
        call = AgentCall(agent=self, relay=relay, sink=sink)
        refused = self.refusal(attempt) or self.enqueue(relay)
        if refused is not None:
            return self.refuse(call, refused)
        self.relays[attempt.attempt_id] = relay
        sink.started(self.load())
        self.queue.start_ready(self.clock.seconds())
        self.schedule_tick()
        return call

    def refuse(self, call: AgentCall, refused: Ended) -> AgentCall:
        """End an attempt that was not admitted."""
        relay = call.relay
        if refused.failure is not None:
            self.on_event(f"refused_{refused.failure.reason.value}")
        relay.end = refused
        if relay.sink is not None:
            relay.sink.ended(refused)
        return call

    def refusal(self, attempt: Attempt) -> Ended | None:
        """Return a refusal if an attempt cannot be queued, else None."""
        failure: Failure | None = None
        if self.drain_reason:
            failure = not_run(Reason.DRAINING, messages.DRAINING)
        elif self.is_ordering:
            failure = not_run(Reason.WRONG_WEIGHTS, messages.WRONG_WEIGHTS)
        elif attempt.target != self.target:
            failure = not_run(Reason.NO_TARGET, messages.NO_TARGET)
        elif attempt.attempt_id in self.relays:
            failure = may_have_run(
                Reason.BAD_REQUEST, "the attempt id was used before"
            )
        if failure is None:
            return None
        return Ended(failure=failure, load=self.load())

    def enqueue(self, relay: Relay) -> Ended | None:
        """Put an attempt into the queue, or return why it is refused."""
        invariants.drained_idle(bool(self.drain_reason), self.target)
        attempt = relay.attempt
        now_s = self.clock.seconds()
        prompt_tokens, hit_tokens = self.measure(relay, now_s)
        token_s = 1.0 / self.queue.prefill_tokens_per_s
        job = Job(
            name=attempt.attempt_id,
            account=attempt.account,
            weight=attempt.weight,
            priority=attempt.priority,
            prefill_tokens=prompt_tokens - hit_tokens,
            decode_tokens=attempt.max_tokens,
            max_wait_s=self.allowed_wait_s(attempt, prompt_tokens - hit_tokens),
            start=partial(self.start, relay),
            after=self.prefix_owner(relay, hit_tokens),
        )
        relay.job = job
        self.queue.tag(job)
        wait_s = self.queue.wait_s(job.finish_tag)
        cost_s = wait_s + attempt.patience * job.prefill_tokens * token_s
        refusal: Failure | None = None
        if 0.0 <= attempt.max_cost_s < cost_s:
            refusal = not_run(Reason.COSTLY, messages.COSTLY, wait_s)
        refusal = refusal or self.queue.offer(job, now_s)
        if refusal is not None:
            return self.with_probe(refusal, wait_s, hit_tokens)
        until_s = now_s + wait_s + defaults.EXPECTED_BLOCK_S
        self.index.expect(relay.chain, until_s, attempt.attempt_id)
        return None

    def prefix_owner(self, relay: Relay, hit_tokens: int) -> str:
        """Return the attempt that computes this one's prefix, if any."""
        block_tokens = self.block_bytes // defaults.BYTES_PER_TOKEN
        return self.index.owner_of(relay.chain, hit_tokens // block_tokens)

    def allowed_wait_s(self, attempt: Attempt, missing_tokens: int) -> float:
        """Return how long an attempt may queue, in seconds.

        This is the time left of its limit after computing its prompt, and at
        least `BASE_WAIT_S`, so that an idle target accepts even a prompt whose
        computation alone takes longer.
        """
        compute_s = missing_tokens / self.queue.prefill_tokens_per_s
        return max(attempt.max_first_s - compute_s, defaults.BASE_WAIT_S)

    def with_probe(
        self, refusal: Failure, wait_s: float, hit_tokens: int
    ) -> Ended:
        """Return a refusal together with what a probe would return."""
        load = self.load()
        return Ended(
            failure=refusal,
            load=load,
            probe=ProbeAnswer(
                load=load,
                wait_s=round(wait_s, 4),
                hit_tokens=hit_tokens,
                prefill_token_s=1.0 / self.queue.prefill_tokens_per_s,
            ),
        )

    def measure(self, relay: Relay, now_s: float) -> tuple[int, int]:
        """Hash an attempt's prompt; return its tokens and those cached.

        Text that earlier attempts have generated counts as prompt.
        """
        if self.service != "engine":
            return 0, 0
        attempt = relay.attempt
        text = (attempt.prompt + attempt.partial).encode()
        relay.chain = prefix.chain(
            attempt.cache_salt, text, self.block_bytes, len(text)
        )
        self.note_placement_blocks(attempt, text, relay.chain)
        hits = self.index.hit_blocks(relay.chain, now_s)
        hit_tokens = hits * self.block_bytes // defaults.BYTES_PER_TOKEN
        return prefix.count_tokens(text), hit_tokens

    def note_placement_blocks(
        self, attempt: Attempt, text: bytes, chain: list[int]
    ) -> None:
        """Record the engine block at the end of each placement block."""
        ratio = defaults.PLACEMENT_BLOCK_BYTES // self.block_bytes
        for number, block in enumerate(prefix.chain(attempt.cache_salt, text)):
            self.placement_blocks[block] = chain[(number + 1) * ratio - 1]
            self.placement_blocks.move_to_end(block)
        while len(self.placement_blocks) > defaults.MAX_PLACEMENT_BLOCKS:
            self.placement_blocks.popitem(last=False)

    def probe(self, probe: Probe) -> ProbeAnswer:
        """Return how soon a request could start and how much is cached."""
        now_s = self.clock.seconds()
        hit_tokens = self.probe_hits(probe.chain, now_s)
        job = Job(
            name="",
            account=probe.account,
            weight=probe.weight,
            priority=probe.priority,
            prefill_tokens=max(0, probe.prompt_tokens - hit_tokens),
            decode_tokens=probe.max_tokens,
            max_wait_s=0.0,
            start=lambda: None,
        )
        self.queue.tag(job)
        return ProbeAnswer(
            load=self.load(),
            wait_s=round(self.queue.wait_s(job.finish_tag), 4),
            hit_tokens=hit_tokens,
            prefill_token_s=1.0 / self.queue.prefill_tokens_per_s,
        )

    def probe_hits(self, chain: list[int], now_s: float) -> int:
        """Return how many tokens of a placement chain are cached."""
        block_tokens = (
            defaults.PLACEMENT_BLOCK_BYTES // defaults.BYTES_PER_TOKEN
        )
        for depth in range(len(chain), 0, -1):
            block = self.placement_blocks.get(chain[depth - 1])
            if block is not None and self.index.has(block, now_s):
                return depth * block_tokens
        return 0

    def start(self, relay: Relay) -> None:
        """Send an attempt to the target."""
        relay.call = self.port.open(self.address, relay.attempt, relay)

    def finished(self, relay: Relay) -> None:
        """Free an attempt's slot and start the next.

        The chunks are kept for `RESUME_KEEP_S`, so that a router can resume.
        """
        now_s = self.clock.seconds()
        self.queue.finish(relay.attempt.attempt_id, now_s)
        self.clock.callLater(
            defaults.RESUME_KEEP_S,
            self.relays.pop,
            relay.attempt.attempt_id,
            None,
        )
        # Deferred so that the end is passed on before the next start.
        self.clock.callLater(0, self.start_ready)

    def on_first_token(self, attempt_id: str) -> None:
        """Record that a prompt is computed; others may wait for its prefix."""
        self.queue.mark_prefilled(attempt_id)
        self.clock.callLater(0, self.start_ready)

    def start_ready(self) -> None:
        """Start the queued attempts for which the target has room."""
        self.queue.start_ready(self.clock.seconds())

    def resume(self, attempt: Attempt, sink: Sink) -> AgentCall:
        """Deliver the rest of an attempt whose connection broke."""
        relay = self.relays.get(attempt.resume_of)
        if relay is None:
            unknown = may_have_run(
                Reason.CONNECTION_LOST, "no attempt with the id to resume"
            )
            empty = Relay(agent=self, attempt=attempt, sink=sink, chain=[])
            empty.end = Ended(failure=unknown, load=self.load())
            sink.ended(empty.end)
            return AgentCall(agent=self, relay=empty, sink=sink)
        self.on_event("resumed")
        self.stop_orphan_timer(relay)
        relay.sink = sink
        sink.started(self.load())
        for index in sorted(relay.chunks):
            if index >= attempt.start_index:
                sink.chunk(attempt.resume_of, index, relay.chunks[index])
        if relay.end is not None:
            sink.ended(relay.end)
        return AgentCall(agent=self, relay=relay, sink=sink)

    def cancel(self, relay: Relay, reason: Reason = Reason.CANCELLED) -> None:
        """End an attempt whose answer is no longer needed."""
        relay.sink = None
        self.stop_orphan_timer(relay)
        if relay.end is not None:
            return
        self.on_event("cancelled")
        was_queued = relay.job is not None and self.queue.withdraw(relay.job)
        if relay.call is not None:
            relay.call.cancel()
        verdict = not_run if was_queued else may_have_run
        relay.ended(Ended(failure=verdict(reason, "cancelled")))

    def detach(self, relay: Relay) -> None:
        """Disconnect the router from an attempt; a router may resume it.

        An engine's attempt is cancelled if it is not resumed in time.
        """
        relay.sink = None
        if relay.end is None and self.service == "engine":
            self.stop_orphan_timer(relay)
            relay.orphan_timer = self.clock.callLater(
                defaults.RESUME_GRACE_S, self.cancel_orphan, relay
            )

    def stop_orphan_timer(self, relay: Relay) -> None:
        """Stop the timer that cancels an attempt without a router."""
        if relay.orphan_timer is not None and relay.orphan_timer.active():
            relay.orphan_timer.cancel()

    def cancel_orphan(self, relay: Relay) -> None:
        """Cancel an attempt that no router has resumed.

        A router that has not noticed the broken connection yet still has a
        caller that waits: it is told of the connection, not of a cancellation,
        so that it goes on elsewhere.
        """
        if relay.sink is None:
            self.cancel(relay, Reason.CONNECTION_LOST)

    def follow_config(self, state: State) -> None:
        """Drain or admit as the configuration in force says.

        An agent that is shutting down continues to refuse new work.
        """
        if self.is_shutting_down:
            return
        target = state.targets.get(self.target)
        self.drain_reason = target.drained if target is not None else ""

    def stop_admitting(self) -> None:
        """Refuse new work permanently, because the process is shutting down."""
        self.is_shutting_down = True
        self.drain_reason = messages.SHUTTING_DOWN

    def is_idle(self) -> bool:
        """Whether no attempt is queued or running."""
        return not self.queue.running and self.queue.queued == 0

    def may_stop(self) -> bool:
        """Whether the agent is idle and holds no answer for a router.

        A whole answer of an engine whose connection broke is kept for
        `RESUME_KEEP_S`; routers do not resume calls to plain services.
        """
        is_held = self.service == "engine" and any(
            relay.sink is None
            and relay.end is not None
            and relay.end.failure is None
            for relay in self.relays.values()
        )
        return self.is_idle() and not is_held

    def load(self) -> LoadReport:
        """Return the load report that is attached to answers."""
        return LoadReport(
            target=self.target,
            incarnation=self.index.incarnation,
            wait_s=round(self.queue.wait_s(), 4),
            queued=self.queue.queued,
            running=len(self.queue.running),
            draining=bool(self.drain_reason),
            version=self.version,
        )

    def schedule_tick(self) -> None:
        """Schedule the next tick, unless one is scheduled already."""
        if not self.is_tick_scheduled:
            self.is_tick_scheduled = True
            self.clock.callLater(defaults.AGENT_TICK_S, self.tick)

    def tick(self) -> None:
        """Refuse the attempts that have waited too long; start others."""
        now_s = self.clock.seconds()
        for job in self.queue.withdraw_overdue(now_s):
            relay = self.relays.get(job.name)
            if relay is not None:
                wait_s = self.queue.wait_s()
                late = not_run(
                    Reason.QUEUE_TOO_LONG, messages.QUEUE_TOO_LONG, wait_s
                )
                relay.ended(Ended(failure=late))
        self.index.forget_expected(now_s)
        self.queue.start_ready(now_s)
        self.is_tick_scheduled = False
        if not self.is_idle():
            self.schedule_tick()
