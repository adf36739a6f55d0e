"""In-memory model of the users' platform, for the soak of the forwarding.

It models the store, holds the targets, and counts the runs of each request.  It
checks that revoked keys stop working, and that cached parts are used only for
the weights and accounts they are for.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import attrs

from sequoiawind import invariants
from sequoiawind.forward_plan import ForwardRequest
from sequoiawind.lab.forward_checks import (
    FREE_CRASHES,
    Arrivals,
    CrashingRequests,
)
from sequoiawind.lab.virtual_clock import VirtualClock
from sequoiawind.record_ports import KeyedRecord
from sequoiawind.verdict import Reason, may_have_run

if TYPE_CHECKING:
    from sequoiawind.lab.forward_runs import SimulatedRun
    from sequoiawind.lab.forward_targets import SimulatedTarget

MODEL: Final = "m"
CACHE_STORE: Final = "cache-store:1"
LATENCY_S: Final = 0.001
WORK_S: Final = 0.03
EVENT_S: Final = 0.04
LOAD_S: Final = 0.3
# Share of the streams that come without length and chunks.
CLOSE_DELIMITED_SHARE: Final = 0.5
LOST: Final = may_have_run(Reason.CONNECTION_LOST, "connection lost")


@attrs.frozen(kw_only=True)
class Origin:
    """Account and weights version for which a cached part was computed."""

    account: str
    version: int


@attrs.define(kw_only=True)
class FaultRates:
    """Probabilities of faults, raised for a while by fault injection.

    For each event of a stream, `lost` and `hung` are divided by ten.
    """

    lost: float = 0.0
    hung: float = 0.0
    failed: float = 0.0
    busy: float = 0.0
    late_orders: float = 0.0
    failed_moves: float = 0.1


@attrs.define(kw_only=True, eq=False)
class World:
    """The platform that all processes of a run share."""

    clock: VirtualClock
    random: random.Random
    revoke_s: float
    # Since when each isolated account is that, in seconds of the clock.
    isolated_s: dict[str, float] = attrs.field(factory=dict)
    fault_rates: FaultRates = attrs.field(factory=FaultRates)
    targets: dict[str, "SimulatedTarget"] = attrs.field(factory=dict)
    # Records by topic, and the names of the nodes that the store refuses.
    topics: dict[str, list[KeyedRecord]] = attrs.field(factory=dict)
    refused_nodes: set[str] = attrs.field(factory=set)
    # Whether reads fail as if the records had been deleted.
    has_lost_records: bool = False
    # Values of all records; a record holds the index of its value.
    objects: list[object] = attrs.field(factory=list)
    # Runs by request id.
    runs: Counter[str] = attrs.field(factory=Counter)
    # All that was sent, by request id.
    history: defaultdict[str, list["SimulatedRun"]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    # Time of revocation by key.
    revoked_s: dict[str, float] = attrs.field(factory=dict)
    # Parts that the cache store holds, by salt and part id.
    cache_store_parts: dict[tuple[str, str], Origin] = attrs.field(factory=dict)
    counts: Counter[str] = attrs.field(factory=Counter)
    # Arrivals at the targets by pool.
    arrivals: defaultdict[str, Arrivals] = attrs.field(
        factory=lambda: defaultdict(Arrivals)
    )
    # The part of prompts under which engines crash, and the requests with it.
    fatal_part: str = ""
    crashing: CrashingRequests = attrs.field(
        factory=lambda: CrashingRequests(
            name="crashing-part", free_crashes=FREE_CRASHES
        )
    )
    # The requests under which all targets crash, by their body.
    crashing_bodies: dict[bytes, CrashingRequests] = attrs.field(factory=dict)
    # Called with a target that crashes, and the request under which it does.
    on_fatal: Callable[["SimulatedTarget", ForwardRequest], None] = attrs.field(
        default=lambda target, request: None
    )

    def crashing_of(self, request: ForwardRequest) -> CrashingRequests | None:
        """Return the requests to which one that crashes targets belongs."""
        shared = request.prompt.shared_parts if request.prompt else ()
        if self.fatal_part in [part.id for part in shared]:
            return self.crashing
        return self.crashing_bodies.get(request.body)

    def happens(self, probability: float) -> bool:
        """Draw whether an event of a probability happens."""
        return self.random.random() < probability

    def write(self, topic: str, key: str, value: object | None) -> None:
        """Append a record to a topic; a value of None deletes the key."""
        data = None
        if value is not None:
            self.objects.append(value)
            data = b"%d" % (len(self.objects) - 1)
        records = self.topics.setdefault(topic, [])
        records.append(KeyedRecord(key=key, value=data))

    def target_at(self, address: str) -> "SimulatedTarget | None":
        """Return the target that serves at an address now; None if none."""
        found = [
            target
            for target in self.targets.values()
            if target.entry.address == address and target.is_up
        ]
        return found[0] if found else None

    def check_key(self, request_id: str, key: str) -> None:
        """Check that a run's key was not revoked more than `revoke_s` ago."""
        revocation_s = self.revoked_s.get(key, float("inf"))
        late_s = self.clock.seconds() - revocation_s
        invariants.check(
            late_s <= self.revoke_s,
            "keys",
            f"request {request_id} ran {late_s:.2f} s after the revocation",
        )

    def check_part(self, origin: Origin, account: str, version: int) -> None:
        """Check that a run may use a cached part: weights and isolation."""
        invariants.check(
            origin.version == version,
            "cache-version",
            f"part of version {origin.version} used with version {version}",
        )
        now_s = self.clock.seconds()
        for name in {origin.account, account}:
            late_s = now_s - self.isolated_s.get(name, float("inf"))
            invariants.check(
                origin.account == account or late_s <= self.revoke_s,
                "cache-account",
                f"part of account {origin.account} used for account {account} "
                f"{late_s:.2f} s after {name} was isolated",
            )
