"""Admission at an agent: a weighted fair queue before one target.

The queue is start-time fair queueing over client accounts (Goyal, Vin and
Cheng, 1996), except that jobs start in the order of their finish tags.  Each
step of a kind's priority doubles the account's weight, so a higher priority
gets a larger share without starving the rest.  Work is refused early, as not
run, when its estimated wait is longer than its limit.
"""

import heapq
from collections.abc import Callable
from typing import Final

import attrs

from sequoiawind import defaults, messages
from sequoiawind.verdict import Failure, Reason, not_run

# Priority with which the account's weight counts unchanged.
NEUTRAL_PRIORITY: Final = 5
# Cost of one request beyond its tokens, in tokens.
REQUEST_COST_TOKENS: Final = 64
# Time over its limit that a queued job may wait before it is refused.  The job
# was admitted by an estimate, whose smaller errors are tolerated.
OVERDUE_SLACK_S: Final = 0.1


@attrs.define(kw_only=True)
class Job:
    """A request that waits for the target or runs on it."""

    name: str
    account: str
    weight: float
    priority: int
    # Prompt tokens that the target has to compute.
    prefill_tokens: int
    # Tokens to generate at most.
    decode_tokens: int
    # Longest acceptable wait, in seconds.
    max_wait_s: float
    start: Callable[[], None]
    # Name of the job that computes a prefix of this one's prompt; this job
    # starts after that one's first token.
    after: str = ""
    enqueued_s: float = 0.0
    # Tags of fair queueing, in tokens divided by the share.
    start_tag: float = 0.0
    finish_tag: float = 0.0
    # When the job started, in seconds; negative if it has not.
    started_s: float = -1.0
    # Whether the target has yielded the first token.
    prefilled: bool = False
    cancelled: bool = False

    @property
    def cost(self) -> float:
        """Work of the job in prompt tokens; a generated token counts as 4."""
        return (
            REQUEST_COST_TOKENS + self.prefill_tokens + 4.0 * self.decode_tokens
        )


@attrs.define(kw_only=True)
class FairQueue:
    """Decides which job starts next and which are refused."""

    max_running: int = defaults.MAX_RUNNING
    max_queue: int = defaults.MAX_QUEUE
    # Prompt tokens that started jobs may have left to compute together.
    max_prefill_ahead: int = defaults.MAX_PREFILL_AHEAD_TOKENS
    prefill_tokens_per_s: float = defaults.PREFILL_TOKENS_PER_S
    # Largest start tag of the jobs that have started.
    virtual_time: float = 0.0
    # Finish tag of each account's last job.
    last_tags: dict[str, float] = attrs.field(factory=dict)
    # Finish tag, sequence number and job; a withdrawn job stays until it is
    # popped.
    heap: list[tuple[float, int, Job]] = attrs.field(factory=list)
    sequence: int = 0
    running: dict[str, Job] = attrs.field(factory=dict)
    # Number of queued jobs, without those withdrawn.
    queued: int = 0
    # Names of the queued jobs.
    waiting: set[str] = attrs.field(factory=set)
    # Average time for which a job holds its slot, in seconds.
    slot_time_s: float = 1.0

    def offer(self, job: Job, now_s: float) -> Failure | None:
        """Queue a job, or return why it is refused.

        The caller then calls `start_ready`.
        """
        if self.queued >= self.max_queue:
            return not_run(
                Reason.QUEUE_FULL, messages.QUEUE_FULL, self.wait_s()
            )
        self.tag(job)
        wait_s = self.wait_s(job.finish_tag)
        if wait_s > job.max_wait_s:
            return not_run(
                Reason.QUEUE_TOO_LONG, messages.QUEUE_TOO_LONG, wait_s
            )
        job.enqueued_s = now_s
        self.last_tags[job.account] = job.finish_tag
        self.sequence += 1
        heapq.heappush(self.heap, (job.finish_tag, self.sequence, job))
        self.queued += 1
        self.waiting.add(job.name)
        return None

    def tag(self, job: Job) -> None:
        """Set the start and finish tags of a job that is queued now."""
        last_tag = self.last_tags.get(job.account, 0.0)
        boost = 2.0 ** (job.priority - NEUTRAL_PRIORITY)
        share = max(job.weight, 1e-6) * boost
        job.start_tag = max(self.virtual_time, last_tag)
        job.finish_tag = job.start_tag + job.cost / share

    def wait_s(self, finish_tag: float = float("inf")) -> float:
        """Estimate how long a job with a finish tag would wait to start.

        Args:
          finish_tag: The default is behind all queued jobs.

        Returns:
          Seconds until the target would begin the job.
        """
        ahead = [
            job
            for tag, _, job in self.heap
            if tag <= finish_tag and not job.cancelled
        ]
        tokens = sum(job.prefill_tokens for job in ahead)
        tokens += self.prefill_running()
        wait_s = tokens / self.prefill_tokens_per_s
        free = self.max_running - len(self.running)
        if len(ahead) >= free:
            waiting = len(ahead) - free + 1
            wait_s += waiting * self.slot_time_s / self.max_running
        return wait_s

    def prefill_running(self) -> int:
        """Return the prompt tokens that the target still has to compute."""
        return sum(
            job.prefill_tokens
            for job in self.running.values()
            if not job.prefilled
        )

    def start_ready(self, now_s: float) -> None:
        """Start queued jobs while the target has room for them."""
        held_back: list[tuple[float, int, Job]] = []
        while self.heap and len(self.running) < self.max_running:
            entry = heapq.heappop(self.heap)
            job = entry[2]
            if job.cancelled:
                continue
            if self.is_blocked(job):
                held_back.append(entry)
                continue
            if not self.has_room(job):
                held_back.append(entry)
                break
            self.begin(job, now_s)
        for entry in held_back:
            heapq.heappush(self.heap, entry)
        if not self.heap and not self.running:
            self.last_tags.clear()
            self.virtual_time = 0.0

    def is_blocked(self, job: Job) -> bool:
        """Whether another job has yet to compute this one's prefix.

        If both started together, both would compute the prefix.
        """
        if job.after in self.waiting:
            return True
        owner = self.running.get(job.after)
        return owner is not None and not owner.prefilled

    def has_room(self, job: Job) -> bool:
        """Whether the target can take a job's prompt now."""
        in_prefill = self.prefill_running()
        if in_prefill == 0:
            return True
        return in_prefill + job.prefill_tokens <= self.max_prefill_ahead

    def begin(self, job: Job, now_s: float) -> None:
        """Start a queued job in a free slot."""
        self.queued -= 1
        self.waiting.discard(job.name)
        self.virtual_time = max(self.virtual_time, job.start_tag)
        job.started_s = now_s
        self.running[job.name] = job
        job.start()

    def mark_prefilled(self, name: str) -> None:
        """Record that the target has computed a job's prompt."""
        job = self.running.get(name)
        if job is not None:
            job.prefilled = True

    def finish(self, name: str, now_s: float) -> None:
        """Free the slot of a job that has ended."""
        job = self.running.pop(name, None)
        if job is not None:
            held_s = now_s - job.started_s
            self.slot_time_s += 0.1 * (held_s - self.slot_time_s)

    def withdraw(self, job: Job) -> bool:
        """Remove a job from the queue; return whether it was still queued."""
        if job.started_s >= 0.0 or job.cancelled:
            return False
        job.cancelled = True
        self.queued -= 1
        self.waiting.discard(job.name)
        return True

    def withdraw_overdue(self, now_s: float) -> list[Job]:
        """Withdraw and return the jobs that have waited too long."""
        late = [
            job
            for _, _, job in self.heap
            if not job.cancelled
            and now_s - job.enqueued_s > job.max_wait_s + OVERDUE_SLACK_S
        ]
        for job in late:
            self.withdraw(job)
        return late
