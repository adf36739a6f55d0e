"""Readers that apply the store's records to a process and log each change."""

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from functools import partial
from typing import Any, Final

import attrs
import structlog
from expression import Result

from sequoiawind import supervise
from sequoiawind.blackboard import Blackboard
from sequoiawind.config_fold import Folded
from sequoiawind.fleet import Fleet
from sequoiawind.forward_state import ForwardState, ForwardTarget
from sequoiawind.freshness import Freshness, suspended_clock_s
from sequoiawind.ports import Clock
from sequoiawind.record_ports import KeyedRecord
from sequoiawind.software_memory import SoftwareKey, software_key
from sequoiawind.target_identities import TargetIdentities
from sequoiawind.wire import WireError

Logger = structlog.typing.FilteringBoundLogger

# Age of an entry from which a read that lacks it proves that it was removed, in
# seconds: longer than a read of the store takes.
VOID_AGE_S: Final = 2.0
# The source of records that a process has read from the store itself.
STORE: Final = "store"


@attrs.frozen(kw_only=True)
class OperatorCodec:
    """Decodes the records that operators write; provided by the adapter."""

    # Key of the configuration, and prefix of the keys of weights versions.
    config_key: str
    weights_prefix: str
    config: Callable[[bytes], ForwardState]
    # Returns an object with the attributes `model` and `version`.
    weights: Callable[[bytes], Any]


@attrs.define(kw_only=True)
class OperatorReader:
    """Applies configurations and the weights versions that operators name."""

    board: Blackboard
    codec: OperatorCodec
    log: Logger
    # None in processes that check no callers' keys.
    freshness: Freshness | None = None
    # Called with a model, a version, and whether the version may have been
    # named long before it was read.
    on_weights: Callable[[str, int, bool], None] = attrs.field(
        default=lambda model, version, is_late: None
    )
    # Called after a newer configuration has been put in force.
    on_config: Callable[[], None] = attrs.field(default=lambda: None)
    # Called when the configuration has been confirmed to be current.
    on_confirmed: Callable[[], None] = attrs.field(default=lambda: None)
    # Whether the store has an older configuration than this process, as it has
    # returned from a copy: its records prove nothing about what is current.
    is_store_behind: bool = False
    # Revision of an older configuration that was seen to be written after the
    # one in force: by a mistake of the operator, and not from a copy.  -1 for
    # none.
    mistaken_revision: int = -1
    # Revision or version of the last record that was read, by key; lower than
    # the one in force if the record is old.
    read_versions: dict[str, int] = attrs.field(factory=dict)
    # Whether records that were read now may be taken as current.
    may_confirm: Callable[[], bool] = attrs.field(default=lambda: True)
    # Where the records come from that are applied now: the store, or a relay.
    source: str = STORE

    @contextmanager
    def reading_from(self, relay: str) -> Iterator[None]:
        """Name a relay as the source of the records that are applied inside."""
        self.source = relay
        try:
            yield
        finally:
            self.source = STORE

    def replaced(self, records: Sequence[KeyedRecord]) -> None:
        """Apply the newest records."""
        for record in records:
            self.apply(record, is_late=True)

    def changed(self, record: KeyedRecord) -> None:
        """Apply a newly written record."""
        self.apply(record, is_late=False)

    def apply(self, record: KeyedRecord, is_late: bool) -> None:
        """Apply a record; one that cannot be decoded changes nothing."""
        supervise.apply(record, partial(self.decode, is_late), self.log)

    def decode(self, is_late: bool, record: KeyedRecord) -> None:
        """Decode a record, and put it in force."""
        if record.value is None:
            return
        try:
            if record.key == self.codec.config_key:
                state = self.codec.config(record.value)
                self.read_versions[record.key] = state.revision
                self.apply_config(state, is_late)
            elif record.key.startswith(self.codec.weights_prefix):
                named = self.codec.weights(record.value)
                self.read_versions[record.key] = named.version
                self.apply_weights(named.model, named.version, is_late)
        except WireError as error:
            self.log.warning(
                "cannot decode record", key=record.key, error=str(error)
            )

    def apply_config(self, state: ForwardState, is_late: bool) -> None:
        """Put a configuration in force if it is newer.

        An older one that is newly written is the operator's mistake, also when
        it is read again; any other that is found among the newest records
        comes from an old copy.
        """
        is_older = state.revision < self.board.state.revision
        if is_older and not is_late and not self.is_store_behind:
            self.mistaken_revision = state.revision
        is_mistake = state.revision == self.mistaken_revision
        self.is_store_behind = (
            is_older and not is_mistake and (is_late or self.is_store_behind)
        )
        if state.revision <= self.board.state.revision:
            return
        self.mistaken_revision = -1
        old, age_s = self.board.state.revision, self.config_age_s
        self.board.put_config(
            Folded(state=state, next_offset=state.revision + 1)
        )
        self.log.info(
            "configuration in force",
            revision=state.revision,
            replaced=old,
            routes=len(state.routes),
            keys=len(state.accounts),
            needs_keys=state.needs_keys,
            isolated=len(state.isolated_accounts),
            source=self.source,
            config_age_s=age_s,
        )
        self.on_config()

    @property
    def config_age_s(self) -> float:
        """Maximum age of the configuration, in seconds; negative if unknown."""
        if self.freshness is None or self.freshness.current_as_of_s is None:
            return -1.0
        return round(self.freshness.age_s, 3)

    def apply_weights(self, model: str, version: int, is_late: bool) -> None:
        """Log and pass on the weights version that an operator has named."""
        self.log.info(
            "weights named",
            model=model,
            version=version,
            is_late=is_late,
        )
        self.on_weights(model, version, is_late)

    def confirmed(self, request_time_s: float) -> None:
        """Record the time as of which the configuration is current."""
        if self.freshness is None or self.is_store_behind:
            return
        if self.may_confirm():
            self.freshness.confirmed(request_time_s)
            self.on_confirmed()

    def store_lost(self, detail: str) -> None:
        """Log that the store is lost."""
        self.log.warning(
            "store lost",
            topic="operator",
            detail=detail,
            config_age_s=self.config_age_s,
        )

    def store_back(self) -> None:
        """Log that the store is regained."""
        self.log.info("store regained", topic="operator")

    def store_rewound(self, era: int) -> None:
        """Log that the store has returned from an older copy."""
        self.mistaken_revision = -1
        self.log.warning(
            "store rewound",
            topic="operator",
            era=era,
            revision=self.board.state.revision,
        )


@attrs.define(kw_only=True)
class TargetReader:
    """Applies the entries of the targets to the fleet."""

    fleet: Fleet
    decode: Callable[[str, bytes], Result[ForwardTarget, str]]
    clock: Clock
    log: Logger
    # Called after an entry has been applied or removed.
    on_change: Callable[[], None] = attrs.field(default=lambda: None)
    # Called when the software versions that serve may be others than before.
    on_software: Callable[[], None] = attrs.field(default=lambda: None)
    # Called with a target's name when the fleet has a new incarnation of it.
    on_incarnation: Callable[[str], None] = attrs.field(
        default=lambda name: None
    )
    # Stamp of the last record of each target, by which older ones that arrive
    # by another way are ignored.
    stamps: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    # When that record was received, in seconds of `age_clock`, the clock by
    # which the age of records is counted.
    received_s: dict[str, float] = attrs.field(factory=dict)
    age_clock: Callable[[], float] = suspended_clock_s
    # Whether all entries have been read once.
    has_read: bool = False
    identities: TargetIdentities = attrs.field(
        default=attrs.Factory(
            lambda self: TargetIdentities(clock=self.clock), takes_self=True
        )
    )

    def replaced(self, records: Sequence[KeyedRecord]) -> None:
        """Apply all entries; targets without one are removed."""
        self.replaced_as_of(records, float("inf"))

    def replaced_as_of(
        self, records: Sequence[KeyedRecord], as_of_s: float
    ) -> None:
        """Apply all entries that there were at a time.

        Targets without one are removed, unless their last entry was received
        later: it may have been written after that time.

        Args:
          records: The entries.
          as_of_s: The time, in seconds of `age_clock`.
        """
        self.has_read = True
        present = {record.key for record in records if record.value}
        for record in records:
            self.changed(record)
        for name in list(self.fleet.views):
            if name in present or self.received_s.get(name, 0.0) >= as_of_s:
                continue
            self.void_entry(name)
            self.remove(name)

    def void_entry(self, name: str) -> None:
        """Ignore a removed target's last entry, should it arrive again.

        An entry that was received while the store was being read may be newer
        than what was read, so it is not ignored.
        """
        age_s = self.age_clock() - self.received_s.get(name, 0.0)
        if age_s >= VOID_AGE_S:
            era, offset = self.stamps.get(name, (0, 0))
            self.stamps[name] = (era, offset + 1)

    def changed(self, record: KeyedRecord) -> None:
        """Apply an entry; one that cannot be decoded removes its target.

        An entry that is older than the last one of its target is ignored.
        """
        supervise.apply(record, self.decode_entry, self.log)

    def decode_entry(self, record: KeyedRecord) -> None:
        """Decode an entry, unless it is old, and add or remove its target."""
        if record.stamp < self.stamps.get(record.key, record.stamp):
            return
        self.stamps[record.key] = record.stamp
        self.received_s[record.key] = self.age_clock()
        if record.value is None:
            self.remove(record.key)
            return
        decoded = self.decode(record.key, record.value)
        if decoded.is_error():
            self.log.warning(
                "cannot decode target entry",
                target=record.key,
                error=decoded.error[:200],
            )
            self.remove(record.key)
            return
        if not self.identities.is_own(decoded.ok):
            self.log.warning(
                "target entry of another writer",
                target=record.key,
                pool=decoded.ok.pool,
                address=decoded.ok.address,
            )
            self.remove(record.key)
            return
        self.apply(decoded.ok)

    def apply(self, target: ForwardTarget) -> None:
        """Add or update a target."""
        before = self.fleet.views.get(target.name)
        was_draining = before is not None and before.target.is_draining
        software = self.software_of(target.name)
        if self.fleet.put(target):
            self.on_incarnation(target.name)
        if before is None or was_draining != target.is_draining:
            self.log.info(
                "target entry changed",
                target=target.name,
                pool=target.pool,
                address=target.address,
                born_ms=target.born_ms,
                software=target.software,
                draining=target.is_draining,
            )
        if software != self.software_of(target.name):
            self.on_software()
        self.on_change()

    def software_of(self, name: str) -> SoftwareKey | None:
        """Return the pool and software version of a target, if it is known."""
        view = self.fleet.views.get(name)
        return None if view is None else software_key(view.target)

    def remove(self, name: str) -> None:
        """Remove an entry; after an outage the fleet keeps it for a while."""
        if name not in self.fleet.views:
            return
        now_s = self.clock.seconds()
        self.fleet.remove(name, now_s)
        self.log.info(
            "target entry removed",
            target=name,
            is_dropped=name not in self.fleet.views,
            judged_in_s=round(
                max(0.0, self.fleet.missing_dropped_at_s - now_s), 3
            ),
        )
        self.on_software()
        self.on_change()

    def confirmed(self, request_time_s: float) -> None:
        """Drop targets that have been missing for long enough."""
        self.fleet.drop_missing(self.clock.seconds())

    def store_lost(self, detail: str) -> None:
        """Keep the known targets while the store does not answer."""
        self.fleet.store_lost()
        self.log.warning("store lost", topic="targets", detail=detail)

    def store_back(self) -> None:
        """Give missing targets time to register again."""
        self.fleet.store_back(self.clock.seconds())
        self.log.info("store regained", topic="targets")

    def store_rewound(self, era: int) -> None:
        """Give targets whose entries were lost time to register again."""
        self.fleet.store_back(self.clock.seconds())
        self.log.warning(
            "store rewound",
            topic="targets",
            era=era,
            targets=len(self.fleet.views),
        )
