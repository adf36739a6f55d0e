"""Measures how the costs of each role grow with its sizes.

Each slope is that of a least-squares line through four sizes or more, given
with the largest deviation from the line.  ``docs/CAPACITY.md`` uses the
results.
"""

import random
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Final

import attrs
from twisted.internet.defer import Deferred

from sequoiawind import (
    claims,
    config_fold,
    defaults,
    keys,
    placement,
    prefix,
    tokens,
    wire,
)
from sequoiawind.blackboard import Blackboard
from sequoiawind.cache_index import CacheEvent, CacheEvents, CacheIndex
from sequoiawind.claims import Claim, ClaimTable, Outcome
from sequoiawind.commands import Create
from sequoiawind.config_fold import Folded
from sequoiawind.config_follower import ConfigFollower
from sequoiawind.lab import choice_slope
from sequoiawind.lab.log_model import LogModel
from sequoiawind.lab.virtual_clock import VirtualClock
from sequoiawind.limits import AccountLimits
from sequoiawind.peers import VmEntry
from sequoiawind.placement import Candidate
from sequoiawind.sharing import SharingTracker
from sequoiawind.state import Account
from sequoiawind.wire import DemandMessage, Reply

ACCOUNT_SIZES: Final = (200, 400, 800, 1400)
TARGET_SIZES: Final = (61, 150, 335, 670)
BLOCK_SIZES: Final = (6_000, 12_000, 18_000, 24_000)
PREFIX_SIZES: Final = (2_500, 5_000, 10_000, 20_000)
CLAIM_SIZES: Final = (2_000, 4_000, 8_000, 16_000)
DAEMON_SIZES: Final = (10, 50, 100, 350)
# Number of changes; the slowest to reach all daemons counts.
CHANGES: Final = 10
# Number of runs of a timed action; the fastest counts.
REPEATS: Final = 5


@attrs.frozen(kw_only=True)
class Slope:
    """A least-squares line through measurements."""

    name: str
    # What a size counts, such as "account", and the unit of the values.
    per: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]

    @property
    def line(self) -> tuple[float, float]:
        """The slope of the line and its value at size 0."""
        count = len(self.sizes)
        mean_x = sum(self.sizes) / count
        mean_y = sum(self.values) / count
        covariance = sum(
            (x - mean_x) * (y - mean_y)
            for x, y in zip(self.sizes, self.values, strict=True)
        )
        variance = sum((x - mean_x) ** 2 for x in self.sizes)
        slope = covariance / variance
        return slope, mean_y - slope * mean_x

    @property
    def residual(self) -> float:
        """The largest deviation from the line, relative to the value."""
        slope, start = self.line
        return max(
            abs(y - (start + slope * x)) / max(abs(y), 1e-12)
            for x, y in zip(self.sizes, self.values, strict=True)
        )

    def row(self) -> str:
        """Return the slope as a row of a Markdown table."""
        slope, start = self.line
        values = ", ".join(f"{value:.4g}" for value in self.values)
        sizes = ", ".join(str(size) for size in self.sizes)
        return (
            f"| {self.name} | {sizes} | {values} {self.unit} | "
            f"{slope:.4g} {self.unit} per {self.per} | {start:.4g} | "
            f"{self.residual:.1%} |"
        )


def measure_all() -> list[Slope]:
    """Measure all slopes."""
    return [
        memory_slope("configuration in memory", ACCOUNT_SIZES, config_of),
        value_slope("snapshot size", "account", "B", ACCOUNT_SIZES, snapshot_b),
        time_slope("snapshot made and restored", ACCOUNT_SIZES, snapshot_round),
        time_slope("configuration folded", ACCOUNT_SIZES, config_of),
        time_slope("claims folded, with outcomes", CLAIM_SIZES, claims_of),
        memory_slope("claims in memory", CLAIM_SIZES, claims_of),
        placement_slope(),
        value_slope(
            "prompt's target chosen",
            "target",
            "us",
            choice_slope.POOL_SIZES,
            choice_slope.choice_us,
        ),
        time_slope("cache events of one block applied", BLOCK_SIZES, index_of),
        memory_slope("cache index in memory", BLOCK_SIZES, index_of),
        memory_slope("prefix counters in memory", PREFIX_SIZES, tracker_of),
        value_slope("demand message", "account", "B", ACCOUNT_SIZES, demand_b),
        value_slope("VM list", "VM", "B", TARGET_SIZES, vm_list_b),
        value_slope("prompt's probe", "block", "B", (8, 16, 32, 64), probe_b),
        time_slope("prompt hashed", (8, 16, 32, 64), chain_of),
        time_slope("account limits exchanged", ACCOUNT_SIZES, limits_round),
        value_slope(
            "change in force on the last daemon",
            "daemon",
            "s",
            DAEMON_SIZES,
            propagation_s,
        ),
        value_slope(
            "reads of the log", "daemon", "/s", DAEMON_SIZES, reads_per_s
        ),
    ]


def best_time_us(action: Callable[[], object]) -> float:
    """Return the time of the shortest of several runs, in microseconds."""
    times: list[float] = []
    for _ in range(REPEATS):
        began = time.perf_counter()
        action()
        times.append(time.perf_counter() - began)
    return min(times) * 1e6


def time_slope(
    name: str, sizes: Sequence[int], make: Callable[[int], object]
) -> Slope:
    """Measure how long it takes to call a function with each size."""
    values = tuple(best_time_us(lambda n=n: make(n)) for n in sizes)  # type: ignore[misc]
    return Slope(
        name=name, per="item", unit="us", sizes=tuple(sizes), values=values
    )


def memory_slope(
    name: str, sizes: Sequence[int], make: Callable[[int], object]
) -> Slope:
    """Measure the memory of what a function returns for each size."""
    values: list[float] = []
    for size in sizes:
        tracemalloc.start()
        result = make(size)
        values.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del result
    return Slope(
        name=name,
        per="item",
        unit="B",
        sizes=tuple(sizes),
        values=tuple(values),
    )


def value_slope(
    name: str,
    per: str,
    unit: str,
    sizes: Sequence[int],
    value: Callable[[int], float],
) -> Slope:
    """Measure the value that a function returns for each size."""
    values = tuple(value(size) for size in sizes)
    return Slope(
        name=name, per=per, unit=unit, sizes=tuple(sizes), values=values
    )


def config_of(accounts: int) -> Folded:
    """Return a configuration folded from a number of accounts."""
    folded = Folded()
    for number in range(accounts):
        command = Create(
            table="accounts",
            name=f"account-{number}",
            fields={"token_digest": tokens.token_digest(str(number))},
        )
        record = config_fold.make_record(f"id-{number}", "boot", command)
        folded = config_fold.fold(folded, number, record)
    return folded


def snapshot_b(accounts: int) -> float:
    """Return the size of a snapshot, in bytes."""
    return float(len(config_fold.snapshot(config_of(accounts))))


_configs_by_size: Final[dict[int, Folded]] = {}


def snapshot_round(accounts: int) -> object:
    """Make a snapshot and restore it."""
    if accounts not in _configs_by_size:
        _configs_by_size[accounts] = config_of(accounts)
    return config_fold.restore(config_fold.snapshot(_configs_by_size[accounts]))


def claim_records(count: int) -> list[str]:
    """Return the records of a number of claims and their outcomes."""
    records: list[str] = []
    reply = Reply(status=200, content_type="application/json", body="e30=" * 20)
    for number in range(count):
        key = f"account-{number % 1400}/{keys.make_key(1e9, number)}"
        claim = Claim(
            claim_id=f"{number:024x}",
            key=key,
            digest="0" * 64,
            kind="drop",
            owner="router",
            valid_until_s=2e9,
        )
        records.append(claims.make_record(claim))
        outcome = Outcome(
            claim_id=claim.claim_id, key=key, known=True, reply=reply
        )
        records.append(claims.make_record(outcome))
    return records


_claim_records_by_size: Final[dict[int, list[str]]] = {}


def claims_of(count: int) -> ClaimTable:
    """Return a claim table folded from a number of claims."""
    if count not in _claim_records_by_size:
        _claim_records_by_size[count] = claim_records(count)
    table = ClaimTable()
    for offset, record in enumerate(_claim_records_by_size[count]):
        table.fold(offset, 1e9, record)
    return table


def placement_slope() -> Slope:
    """Measure the time to rank candidates."""
    values: list[float] = []
    for count in TARGET_SIZES:
        candidates = [Candidate(name=f"e{n}", address="") for n in range(count)]
        values.append(
            best_time_us(
                lambda candidates=candidates: [  # type: ignore[misc]
                    placement.rank(key, candidates) for key in range(200)
                ]
            )
            / 200
        )
    return Slope(
        name="candidates put in order",
        per="candidate",
        unit="us",
        sizes=TARGET_SIZES,
        values=tuple(values),
    )


def index_of(blocks: int) -> CacheIndex:
    """Return a cache index after events of one block each."""
    index = CacheIndex(incarnation="i")
    source = random.Random(1)
    for sequence in range(blocks):
        event = CacheEvent(sequence=sequence, stored=(source.getrandbits(64),))
        index.apply(CacheEvents(incarnation="i", events=(event,)))
    return index


def tracker_of(prefixes: int) -> SharingTracker:
    """Return a sharing tracker that has counted a number of prefixes."""
    tracker = SharingTracker()
    for number in range(prefixes // 10):
        chain = [number * 10 + depth for depth in range(10)]
        tracker.choose(chain, 0.0, 61, 0)
    return tracker


def demand_b(accounts: int) -> float:
    """Return the size of a demand message, in bytes."""
    demand = {f"account-{number}": 12.34 for number in range(accounts)}
    return float(len(wire.encode(DemandMessage(router="r", demand=demand))))


def vm_list_b(vms: int) -> float:
    """Return the size of the VM list, in bytes."""
    entries = [
        VmEntry(vm=f"vm-{number}", state="live") for number in range(vms)
    ]
    return float(len(wire.encode(entries)))


def probe_b(blocks: int) -> float:
    """Return the size of a probe, in bytes."""
    source = random.Random(1)
    probe = wire.Probe(
        target="e1",
        account="account-1",
        priority=5,
        weight=1.0,
        chain=[source.getrandbits(64) for _ in range(blocks)],
        prompt_tokens=blocks * 256,
        max_tokens=64,
    )
    return float(len(wire.encode(probe)))


def chain_of(blocks: int) -> list[int]:
    """Return the hash chain of a prompt of a number of blocks."""
    return prefix.chain("salt", b"x" * 1024 * blocks)


def limits_round(accounts: int) -> object:
    """Admit a request of each account and exchange demand with a peer."""
    limits = AccountLimits(routers=12)
    for number in range(accounts):
        limits.admit(Account(name=f"account-{number}"), 0.0)
    limits.record_peer_demand("other", limits.end_period(), 0.0)
    return limits


@attrs.define(kw_only=True)
class Followers:
    """Daemons that follow the configuration, on a virtual clock."""

    count: int
    clock: VirtualClock = attrs.field(factory=VirtualClock)
    log: LogModel = attrs.field(init=False)
    followers: list[ConfigFollower] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Start the daemons at random times and let them catch up."""
        source = random.Random(self.count)
        self.log = LogModel(clock=self.clock, random=source)
        for _ in range(self.count):
            follower = ConfigFollower(
                board=Blackboard(),
                log=self.log,
                clock=self.clock,
                random=source,
                wall=self.clock.seconds,
            )
            self.followers.append(follower)
            self.clock.callLater(source.random(), self.start, follower)
        self.clock.advance_to(5.0)

    def start(self, follower: ConfigFollower) -> None:
        """Start one daemon."""
        Deferred.fromCoroutine(follower.run())

    def propagation_s(self, number: int) -> float:
        """Return how many seconds a change takes to reach the last daemon."""
        record = config_fold.make_record(
            f"c{number}", "ops", Create(table="kinds", name=f"k{number}")
        )
        began_s = self.clock.seconds()
        self.log.append_now(defaults.CONFIG_STREAM, [record])
        while not all(
            f"k{number}" in item.board.state.kinds for item in self.followers
        ):
            self.clock.advance_to(self.clock.seconds() + 0.01)
        return self.clock.seconds() - began_s


def propagation_s(daemons: int) -> float:
    """Return the longest propagation of several changes, in seconds."""
    followers = Followers(count=daemons)
    return max(followers.propagation_s(number) for number in range(CHANGES))


def reads_per_s(daemons: int) -> float:
    """Return how often idle daemons read the log, per second."""
    followers = Followers(count=daemons)
    before = followers.log.reads
    followers.clock.advance_to(followers.clock.seconds() + 60.0)
    return (followers.log.reads - before) / 60.0


def report() -> str:
    """Measure all slopes and return them as a Markdown table."""
    lines = [
        "| what | sizes | values | slope | at size 0 | residual |",
        "|---|---|---|---|---|---|",
    ]
    lines += [slope.row() for slope in measure_all()]
    return "\n".join(lines)
