"""A simulated inference engine: the stand-in that routing is measured against.

It simulates continuous batching with chunked prefill: each step computes a
bounded number of prompt tokens and one token of every sequence in decode.
Prompt blocks are cached in limited memory and evicted least recently used
first.  The model runs on any clock.  It asserts that no cached block of
another salt (account, model, adapter and weights version) is used.
"""

import random
from collections import OrderedDict
from collections.abc import Sequence

import attrs
from xxhash import xxh3_64_intdigest

from sequoiawind import (
    defaults,
    invariants,
    messages,
    openai_format,
    prefix,
)
from sequoiawind.cache_index import CacheEvent, CacheEvents, CacheList
from sequoiawind.lab.weight_store import WeightSource, WeightStore
from sequoiawind.ports import Call, Clock, Sink
from sequoiawind.verdict import Reason, may_have_run, not_run
from sequoiawind.wire import Attempt, Ended, LoadReport, Usage


@attrs.frozen(kw_only=True)
class EngineParameters:
    """Step times, sizes and simulated faults of an engine."""

    cache_blocks: int = 3000
    block_bytes: int = defaults.ENGINE_BLOCK_BYTES
    step_base_s: float = 0.010
    prefill_token_s: float = 50e-6
    decode_sequence_s: float = 0.4e-3
    prefill_per_step: int = 384
    max_batch: int = 32
    # Time until a cache event is visible.
    event_lag_s: float = 0.1
    # Share of cache events that are lost.
    event_loss: float = 0.0
    events_kept: int = 2000
    # Time to load weights.
    load_time_s: float = 5.0
    # Largest age of the counts in a load report.
    load_lag_s: float = 0.5
    # Time to export or import one token's cache, in seconds.
    transfer_token_s: float = 5e-6
    # Whether orders with an outdated fencing number are refused.
    checks_fencing: bool = True


@attrs.frozen(kw_only=True)
class ExportedBlock:
    """A cached block as exported by an engine."""

    block: int
    salt: str
    # The exporter, its incarnation and its weights version.
    engine: str
    incarnation: str
    version: str


@attrs.define(kw_only=True)
class Generation:
    """One sequence that the engine computes."""

    attempt: Attempt
    sink: Sink
    chain: list[int]
    hit_blocks: int
    # Prompt tokens left to compute; -1 before the cache lookup.
    prefill_left: int
    prompt_tokens: int
    # Hash of the prompt, which determines the answer.
    seed: int
    # Index of the next token of the answer.
    next_index: int
    block_salt: str


@attrs.define(kw_only=True)
class EngineCall:
    """A sequence in progress; lets the caller cancel it."""

    engine: "EngineModel"
    generation: Generation

    def cancel(self) -> None:
        """Stop computing the sequence."""
        self.engine.cancel(self.generation)


@attrs.define(kw_only=True)
class NoCall:
    """A call that has already ended; cancelling it has no effect."""

    def cancel(self) -> None:
        """Do nothing."""


@attrs.define(kw_only=True)
class EngineModel:
    """A simulated engine; implements the target side of `TargetPort`."""

    name: str
    clock: Clock
    random: random.Random
    parameters: EngineParameters = attrs.field(factory=EngineParameters)
    version: str = ""
    # Where weights are loaded from.
    weights: WeightSource = attrs.field(
        default=attrs.Factory(
            lambda self: WeightStore(clock=self.clock), takes_self=True
        )
    )
    # Incremented by every restart; part of the incarnation.
    starts: int = 0
    is_down: bool = False
    loading: bool = False
    # Version being loaded; empty if none is.
    target_version: str = ""
    # Largest fencing number accepted.
    fencing: int = -1
    # Salts by cached block, least recently used first.
    cache: OrderedDict[int, str] = attrs.field(factory=OrderedDict)
    waiting: list[Generation] = attrs.field(factory=list)
    batch: list[Generation] = attrs.field(factory=list)
    is_stepping: bool = False
    # Time of each cache event and the event, oldest first.
    events: list[tuple[float, CacheEvent]] = attrs.field(factory=list)
    next_sequence: int = 0
    # Waiting and running sequences as counted for load reports, and the time
    # of the last count in seconds.
    reported_counts: tuple[int, int] = (0, 0)
    reported_s: float = -1.0
    # Totals over all incarnations, for measurements.
    prompt_tokens: int = 0
    computed_tokens: int = 0
    generated_tokens: int = 0
    # Time that transfers add to the next step, in seconds.
    transfer_s: float = 0.0

    @property
    def incarnation(self) -> str:
        """Identifies this run of the engine; changes with every restart."""
        return f"{self.name}#{self.starts}"

    def open(self, address: str, attempt: Attempt, sink: Sink) -> Call:
        """Queue a sequence, or refuse it if the engine cannot serve it."""
        if self.is_down:
            refusal = not_run(Reason.CONNECT_FAILED, messages.CONNECT_FAILED)
            sink.ended(Ended(failure=refusal))
            return NoCall()
        if attempt.version != self.version or self.loading:
            refusal = not_run(Reason.WRONG_WEIGHTS, messages.WRONG_WEIGHTS)
            sink.ended(Ended(failure=refusal, load=self.load()))
            return NoCall()
        generation = self.make_generation(attempt, sink)
        self.waiting.append(generation)
        self.waiting.sort(key=lambda item: -item.attempt.priority)
        sink.started(self.load())
        self.start_step()
        return EngineCall(engine=self, generation=generation)

    def make_generation(self, attempt: Attempt, sink: Sink) -> Generation:
        """Return the sequence for an attempt, before its cache lookup."""
        text = (attempt.prompt + attempt.partial).encode()
        chain = prefix.chain(
            attempt.cache_salt,
            text,
            self.parameters.block_bytes,
            self.parameters.cache_blocks,
        )
        return Generation(
            attempt=attempt,
            sink=sink,
            chain=chain,
            hit_blocks=0,
            prefill_left=-1,
            prompt_tokens=max(1, prefix.count_tokens(text)),
            seed=xxh3_64_intdigest(attempt.prompt.encode()),
            next_index=attempt.start_index,
            block_salt=attempt.cache_salt,
        )

    def load(self) -> LoadReport:
        """Return the load report; its counts are up to `load_lag_s` old."""
        now_s = self.clock.seconds()
        if now_s - self.reported_s >= self.parameters.load_lag_s:
            self.reported_s = now_s
            self.reported_counts = (len(self.waiting), len(self.batch))
        return LoadReport(
            target=self.name,
            incarnation=self.incarnation,
            queued=self.reported_counts[0],
            running=self.reported_counts[1],
            version=self.version,
        )

    def cancel(self, generation: Generation) -> None:
        """Remove a sequence; nothing more is sent to its sink."""
        if generation in self.waiting:
            self.waiting.remove(generation)
        if generation in self.batch:
            self.batch.remove(generation)

    def start_step(self) -> None:
        """Start a step if there is work and no step is running."""
        if self.is_stepping or not (self.waiting or self.batch):
            return
        self.is_stepping = True
        self.fill_batch()
        plan = self.plan_prefill()
        step_s = self.step_time_s(sum(plan)) + self.transfer_s
        self.transfer_s = 0.0
        self.clock.callLater(step_s, self.finish_step, plan, self.starts)

    def fill_batch(self) -> None:
        """Move waiting sequences into the batch, up to `max_batch`."""
        while self.waiting and len(self.batch) < self.parameters.max_batch:
            generation = self.waiting.pop(0)
            self.look_up_prefix(generation)
            self.batch.append(generation)

    def look_up_prefix(self, generation: Generation) -> None:
        """Set how much of a sequence's prompt is cached and left to compute."""
        hits = 0
        for block in generation.chain:
            salt = self.cache.get(block)
            if salt is None:
                break
            invariants.block_usable(salt, generation.block_salt, block)
            self.cache.move_to_end(block)
            hits += 1
        # The last prompt token is always computed: it yields the first new one.
        cached = hits * self.parameters.block_bytes // defaults.BYTES_PER_TOKEN
        cached = min(cached, generation.prompt_tokens - 1)
        generation.hit_blocks = hits
        generation.prefill_left = generation.prompt_tokens - cached
        self.prompt_tokens += generation.prompt_tokens
        self.computed_tokens += generation.prefill_left

    def plan_prefill(self) -> list[int]:
        """Return how many prompt tokens each sequence computes this step."""
        budget = self.parameters.prefill_per_step
        plan: list[int] = []
        for generation in self.batch:
            tokens = min(generation.prefill_left, budget)
            plan.append(tokens)
            budget -= tokens
        return plan

    def step_time_s(self, prefill_tokens: int) -> float:
        """Return how long a step takes, in seconds."""
        decoding = sum(1 for item in self.batch if item.prefill_left == 0)
        return (
            self.parameters.step_base_s
            + prefill_tokens * self.parameters.prefill_token_s
            + decoding * self.parameters.decode_sequence_s
        )

    def finish_step(self, plan: list[int], starts: int) -> None:
        """Apply a finished step to the batch and start the next one."""
        if starts != self.starts:
            return
        self.is_stepping = False
        for generation, tokens in zip(list(self.batch), plan, strict=False):
            if generation not in self.batch:
                continue
            self.advance(generation, tokens)
        self.start_step()

    def advance(self, generation: Generation, tokens: int) -> None:
        """Advance a sequence by one step: compute prompt or emit a token."""
        if generation.prefill_left > 0:
            generation.prefill_left -= tokens
            if generation.prefill_left > 0:
                return
            self.store(generation.chain, generation.block_salt)
        self.emit_token(generation)

    def emit_token(self, generation: Generation) -> None:
        """Send one token, and finish the sequence after its last one."""
        attempt = generation.attempt
        index = generation.next_index
        if index < attempt.max_tokens:
            self.generated_tokens += 1
            generation.next_index += 1
            text = token_text(generation.seed, index)
            data = openai_format.token_chunk(
                attempt.path, attempt.request_id, attempt.model, text
            )
            generation.sink.chunk(attempt.attempt_id, index, data)
        if generation.next_index >= attempt.max_tokens:
            self.finish(generation)

    def finish(self, generation: Generation) -> None:
        """Send the final chunks and the usage, and end the sequence."""
        if generation not in self.batch:
            return
        self.batch.remove(generation)
        attempt = generation.attempt
        cached = generation.hit_blocks * self.parameters.block_bytes
        usage = Usage(
            prompt_tokens=generation.prompt_tokens,
            cached_tokens=min(
                cached // defaults.BYTES_PER_TOKEN,
                generation.prompt_tokens - 1,
            ),
            completion_tokens=attempt.max_tokens,
        )
        last = openai_format.last_chunk(
            attempt.path, attempt.request_id, attempt.model, usage
        )
        sink = generation.sink
        sink.chunk(attempt.attempt_id, generation.next_index, last)
        sink.chunk(
            attempt.attempt_id, generation.next_index + 1, openai_format.DONE
        )
        sink.ended(Ended(usage=usage, load=self.load()))

    def export_blocks(self, chain: Sequence[int]) -> list[ExportedBlock]:
        """Return the cached blocks of a chain, for storage elsewhere."""
        exported = [
            ExportedBlock(
                block=block,
                salt=self.cache[block],
                engine=self.name,
                incarnation=self.incarnation,
                version=self.version,
            )
            for block in chain
            if block in self.cache
        ]
        self.add_transfer(len(exported))
        return exported

    def import_blocks(self, exported: Sequence[ExportedBlock]) -> int:
        """Cache exported blocks, except those of another weights version.

        Returns:
          The number of blocks imported.
        """
        usable = [item for item in exported if item.version == self.version]
        for item in usable:
            self.store([item.block], item.salt)
        self.add_transfer(len(usable))
        return len(usable)

    def add_transfer(self, blocks: int) -> None:
        """Add the time to transfer a number of blocks to the next step."""
        tokens = blocks * self.parameters.block_bytes
        tokens //= defaults.BYTES_PER_TOKEN
        self.transfer_s += tokens * self.parameters.transfer_token_s

    def store(self, chain: Sequence[int], salt: str) -> None:
        """Cache blocks, evicting the least recently used ones."""
        stored: list[int] = []
        removed: list[int] = []
        for block in chain:
            if block in self.cache:
                self.cache.move_to_end(block)
                continue
            self.cache[block] = salt
            stored.append(block)
            if len(self.cache) > self.parameters.cache_blocks:
                removed.append(self.cache.popitem(last=False)[0])
        if stored or removed:
            self.publish(tuple(stored), tuple(removed))

    def publish(
        self, stored: tuple[int, ...], removed: tuple[int, ...]
    ) -> None:
        """Append a cache event, or lose it with probability `event_loss`."""
        sequence = self.next_sequence
        self.next_sequence += 1
        if self.random.random() < self.parameters.event_loss:
            return
        event = CacheEvent(sequence=sequence, stored=stored, removed=removed)
        self.events.append((self.clock.seconds(), event))
        del self.events[: -self.parameters.events_kept]

    def events_from(self, sequence: int) -> CacheEvents:
        """Return the events from a sequence number on.

        Events become visible `event_lag_s` after they were published.
        """
        visible_s = self.clock.seconds() - self.parameters.event_lag_s
        return CacheEvents(
            incarnation=self.incarnation,
            events=tuple(
                event
                for time_s, event in self.events
                if event.sequence >= sequence and time_s <= visible_s
            ),
        )

    def cache_list(self) -> CacheList:
        """Return all cached blocks."""
        return CacheList(
            incarnation=self.incarnation,
            next_sequence=self.next_sequence,
            blocks=tuple(self.cache),
        )

    def crash(self, down_s: float = 0.0) -> None:
        """Fail all sequences and restart empty, as a new incarnation.

        Args:
          down_s: How long new attempts are refused, in seconds.
        """
        lost = self.waiting + self.batch
        self.restart_empty()
        self.is_down = down_s > 0.0
        failure = may_have_run(Reason.TARGET_LOST, messages.TARGET_LOST)
        for generation in lost:
            generation.sink.ended(Ended(failure=failure))
        if self.is_down:
            self.clock.callLater(down_s, self.end_outage)

    def restart_empty(self) -> None:
        """Discard the state of this incarnation and begin the next."""
        self.starts += 1
        self.waiting, self.batch, self.events = [], [], []
        self.cache.clear()
        self.next_sequence = 0
        self.is_stepping = False
        self.loading = False
        self.target_version = ""

    def end_outage(self) -> None:
        """Accept attempts again after a crash."""
        self.is_down = False

    def order_version(self, version: str, fencing: int) -> bool:
        """Start to load a weights version; return whether this was accepted.

        An engine that checks fencing refuses a number below the largest one
        it has seen.  Sequences in progress fail when a load starts.
        """
        if self.is_down:
            return False
        if self.parameters.checks_fencing and fencing < self.fencing:
            return False
        self.fencing = max(fencing, self.fencing)
        if version == (self.target_version or self.version):
            return True
        self.crash()
        self.loading = True
        self.target_version = version
        loading = self.weights.load(self.parameters.load_time_s)
        loading.addCallback(self.finish_load, version, self.starts)
        return True

    def finish_load(self, loaded: None, version: str, starts: int) -> None:
        """Serve the loaded weights, unless the engine restarted meanwhile."""
        if starts == self.starts:
            self.version = version
            self.loading = False
            self.target_version = ""


def token_text(seed: int, index: int) -> str:
    """Return the token at an index of an answer.

    Args:
      seed: The hash of the prompt.
      index: The position of the token in the answer.
    """
    value = xxh3_64_intdigest(index.to_bytes(4, "little"), seed=seed)
    return f"{value & 0xFFFFFF:x}"[-3:].rjust(3, "0") + " "


def expected_answer(prompt: str, max_tokens: int) -> str:
    """Return the complete answer to a prompt, to check a caller's against."""
    seed = xxh3_64_intdigest(prompt.encode())
    return "".join(token_text(seed, index) for index in range(max_tokens))
