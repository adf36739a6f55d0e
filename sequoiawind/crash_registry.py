"""Keeps requests that crash targets from them, together with all routers.

A router reports the crashes that it sees, and the complete answers that clear
what was suspected, as records of a topic that all routers follow.  What they
add up to is in `crash_evidence`.  Without the store a router goes by what it
has seen and read.  When the store has returned from a copy, routers write again
what it lacks.

What is suspected are whole requests and parts of their prompts, all called
parts here.  `request_signature` tells their names.
"""

import time
from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import Final, Protocol

import attrs
import structlog
from expression import Result
from twisted.internet.defer import Deferred

from sequoiawind import messages, supervise, timing, wire
from sequoiawind.crash_evidence import (
    Block,
    CrashEvidence,
    Incarnation,
    Suspect,
)
from sequoiawind.crash_records import (
    ANSWER,
    CRASH,
    TEST,
    CrashBody,
    Order,
    PartBody,
    decode_body,
    order_of,
    reading_order,
)
from sequoiawind.crash_rewrites import CrashRewrites
from sequoiawind.fleet import TargetView, is_leaving
from sequoiawind.ports import Clock
from sequoiawind.record_ports import (
    Appended,
    KeyedPage,
    KeyedRecord,
    ReadFailure,
)
from sequoiawind.request_signature import RequestSignature, digest, is_whole
from sequoiawind.store_era import StoreEra
from sequoiawind.verdict import Failure, Reason, not_run

Logger = structlog.typing.FilteringBoundLogger

# Failures of an attempt that a crash of its target causes.
CRASH_REASONS: Final = frozenset({Reason.CONNECTION_LOST, Reason.TARGET_ERROR})
# Time for which a target whose answers broke off must stay silent to count as
# crashed, in seconds, and the time in which a crash breaks all its connections.
CONFIRM_S: Final = 0.25
BREAK_S: Final = 0.02
# Age of a stream's first event from which its prompt is not suspected, in
# seconds: targets crash when they begin to write an answer.
BEGINNING_S: Final = 1.0
# Age of an answer up to which it counts for the parts of its prompt, in
# seconds, and the number of parts that are remembered.
PROVEN_S: Final = 600.0
MAX_PROVEN: Final = 20_000
# Parts that a report names at most, those that have not answered first: more
# than the requests that a target runs and queues.
MAX_SUSPECTS: Final = 300
# Depth of a whole request, greater than that of any part of a prompt.
WHOLE_DEPTH: Final = 1_000_000
# Time allowed for a call to the store, and the pause after a failed one, in
# seconds.
CALL_TIMEOUT_S: Final = 1.0
RETRY_PAUSE_S: Final = 0.5
# Records that wait to be written at most; the oldest are dropped.
MAX_UNWRITTEN: Final = 500
# Validity of the permission to test a part, from when it was asked for, and the
# retry-after of requests meanwhile, in seconds.
PERMIT_S: Final = 2.0
TEST_RETRY_AFTER_S: Final = 1.0
# Age from which any router deletes a record, and how many it deletes when it
# reads them all.
RECORD_LIFETIME_MS: Final = 24 * 3_600 * 1_000
MAX_DELETED: Final = 100


@attrs.frozen(kw_only=True)
class AppliedRecord:
    """The last record of a key that was applied."""

    order: Order
    at_ms: int


class CrashPort(Protocol):
    """The topic in which routers record crashes."""

    async def newest(
        self, after: str, timeout_s: float
    ) -> Result[KeyedPage, ReadFailure]:
        """Return the newest record of each key that follows a given key."""

    async def write(
        self,
        records: Sequence[KeyedRecord],
        timeout_s: float,
        at: int | None = None,
    ) -> Result[Appended, Failure]:
        """Append records; those without a value delete their keys.

        Args:
          records: The records.
          timeout_s: Time allowed for the response, in seconds.
          at: Append only if this is the offset of the next record.
        """


@attrs.define(kw_only=True)
class BrokenTarget:
    """A target whose answers broke off, perhaps by a crash."""

    view: TargetView
    broke_s: float
    suspects: dict[str, Suspect] = attrs.field(factory=dict)


@attrs.define(kw_only=True, eq=False)
class CrashRegistry:
    """One router's part in finding prompt parts that crash targets."""

    node: str
    port: CrashPort
    clock: Clock
    log: Logger
    # Clock for permissions; it counts suspensions.
    age_clock: Callable[[], float]
    wall_ms: Callable[[], int] = attrs.field(
        default=lambda: time.time_ns() // 1_000_000
    )
    evidence: CrashEvidence = attrs.field(factory=CrashEvidence)
    # When prompts with a part last had a complete answer here, in seconds of
    # the clock, the oldest first.
    proven_s: OrderedDict[str, float] = attrs.field(factory=OrderedDict)
    broken: dict[Incarnation, BrokenTarget] = attrs.field(factory=dict)
    unwritten: OrderedDict[str, bytes | None] = attrs.field(factory=OrderedDict)
    is_writing: bool = False
    # Whether the records of all routers have been read once, and what is called
    # each time that they have.
    has_read: bool = False
    on_read: Callable[[], None] = attrs.field(default=lambda: None)
    # Until when one request may test a part, in seconds of the age clock.
    permits_s: dict[str, float] = attrs.field(factory=dict)
    # The records of answers and tests that were applied, by key: applied again,
    # they would clear later crashes.
    applied: OrderedDict[str, AppliedRecord] = attrs.field(factory=OrderedDict)
    # The store's era; when it rises, records are written again.
    era: StoreEra = attrs.field(factory=StoreEra)
    # Returns the number of active routers; 0 if unknown.
    routers: Callable[[], int] = attrs.field(default=lambda: 0)
    rewrites: CrashRewrites = attrs.field(init=False)
    # Parts whose block has been logged.
    logged_blocks: frozenset[str] = frozenset()
    # Parts for which a permission is being asked for.
    asking: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Create the part that writes records again."""
        self.rewrites = CrashRewrites(
            registry=self, era=self.era, clock=self.clock, log=self.log
        )

    # What this router sees.

    def attempt_broken(
        self,
        view: TargetView,
        signature: RequestSignature,
        first_event_s: float,
        failure: Failure,
    ) -> None:
        """Suspect a request whose attempt broke off, and its parts.

        Args:
          view: The target.
          signature: The names of the request and its parts.
          first_event_s: When the answer's first event arrived, in seconds of
            the clock; negative if there was none.
          failure: Why the attempt failed.
        """
        if failure.reason not in CRASH_REASONS or is_leaving(view):
            return
        now_s = self.clock.seconds()
        broken = self.broken.get(view.target.incarnation)
        if broken is None:
            broken = BrokenTarget(view=view, broke_s=now_s)
            self.broken[view.target.incarnation] = broken
            self.clock.callLater(CONFIRM_S, self.confirm, broken)
        if 0.0 <= first_event_s < now_s - BEGINNING_S:
            self.note_proven(signature)
            return
        for depth, part in enumerate(signature.names):
            broken.suspects[part] = Suspect(
                part=part,
                depth=WHOLE_DEPTH if is_whole(part) else depth,
                is_proven=self.is_proven(part),
            )

    def is_proven(self, part: str) -> bool:
        """Whether a request with a part had a complete answer here lately."""
        answered_s = self.proven_s.get(part, float("-inf"))
        return self.clock.seconds() - answered_s < PROVEN_S

    def confirm(self, broken: BrokenTarget) -> None:
        """Report a target that has been silent since its answers broke off."""
        target = broken.view.target
        del self.broken[target.incarnation]
        is_alive = broken.view.heard_s > broken.broke_s + BREAK_S
        self.log.warning(
            "target broke off",
            target=target.name,
            born_ms=target.born_ms,
            is_crash=not is_alive,
            suspects=sorted(broken.suspects),
            proven=sorted(
                part for part, item in broken.suspects.items() if item.is_proven
            ),
        )
        if is_alive or not broken.suspects:
            return
        at_ms = self.wall_ms()
        suspects = sorted(
            broken.suspects.values(),
            key=lambda item: (item.is_proven, -item.depth),
        )[:MAX_SUSPECTS]
        self.crashed(target.incarnation, suspects, at_ms)
        self.log_blocks()
        known = self.evidence.crashes[target.incarnation].suspects.values()
        body = CrashBody(
            at_ms=at_ms,
            target=target.name,
            born_ms=target.born_ms,
            suspects=[
                (item.part, item.depth, item.is_proven)
                for item in list(known)[:MAX_SUSPECTS]
            ],
            era=self.era.number,
        )
        name = f"{target.name}\n{target.born_ms}\n{self.node}"
        self.write(f"{CRASH}/{digest(name)}", wire.encode(body))

    def answered(self, signature: RequestSignature) -> None:
        """Clear a request that had a complete answer, and its parts."""
        self.note_proven(signature)
        for part in signature.names:
            if part in self.evidence.suspected:
                self.evidence.answered(part)
                self.log_blocks()
                body = PartBody(
                    at_ms=self.wall_ms(), part=part, era=self.era.number
                )
                self.write(f"{ANSWER}/{part}", wire.encode(body))

    def note_proven(self, signature: RequestSignature) -> None:
        """Note that a target goes on after it has begun to answer a request."""
        now_s = self.clock.seconds()
        for part in signature.names:
            self.proven_s[part] = now_s
            self.proven_s.move_to_end(part)
        while len(self.proven_s) > MAX_PROVEN:
            self.proven_s.popitem(last=False)

    # What all routers know.

    def crashed(
        self, incarnation: Incarnation, suspects: Sequence[Suspect], at_ms: int
    ) -> None:
        """Add a crash to the evidence."""
        now_s = self.clock.seconds()
        self.evidence.crashed(incarnation, suspects, now_s, at_ms / 1000)

    def log_blocks(self) -> None:
        """Log the parts that are newly blocked, or blocked no more."""
        now_s = self.clock.seconds()
        blocks = self.evidence.blocks
        for part, block in blocks.items():
            if part not in self.logged_blocks:
                kind = "request" if is_whole(part) else "prompt part"
                self.log.warning(
                    f"{kind} blocked",
                    part=part,
                    crashes=block.crashes,
                    test_in_s=round(block.until_s - now_s, 3),
                )
        for part in self.logged_blocks - blocks.keys():
            kind = "request" if is_whole(part) else "prompt part"
            self.log.info(f"{kind} let go", part=part)
        self.logged_blocks = frozenset(blocks)

    def replaced(self, records: Sequence[KeyedRecord]) -> None:
        """Apply the newest records, and delete those that are very old."""
        self.has_read = True
        oldest_ms = self.wall_ms() - RECORD_LIFETIME_MS
        deleted = 0
        for record in sorted(records, key=reading_order):
            at_ms = self.apply(record)
            if at_ms is not None and at_ms < oldest_ms:
                deleted += 1
                if deleted <= MAX_DELETED:
                    self.write(record.key, None)
        self.log_blocks()
        self.on_read()

    def changed(self, record: KeyedRecord) -> None:
        """Apply a newly written record."""
        self.apply(record)
        self.log_blocks()

    def apply(self, record: KeyedRecord) -> int | None:
        """Apply a record; return when it was written, None if unreadable."""
        return supervise.apply(record, self.decode, self.log)

    def decode(self, record: KeyedRecord) -> int | None:
        """Decode a record and add it to the evidence; see `apply`."""
        if record.value is None:
            self.rewrites.forget(record.key)
            return None
        try:
            body = decode_body(record.key, record.value)
        except wire.WireError as error:
            self.log.warning(
                "cannot decode record", key=record.key, error=str(error)
            )
            return None
        now_s = self.clock.seconds()
        self.rewrites.note_read(record, body)
        if isinstance(body, CrashBody):
            suspects = [
                Suspect(part=part, depth=depth, is_proven=is_proven)
                for part, depth, is_proven in body.suspects
            ]
            self.crashed((body.target, body.born_ms), suspects, body.at_ms)
            return body.at_ms
        order = order_of(body, record.stamp)
        known = self.applied.get(record.key)
        if known and (order <= known.order or body.at_ms == known.at_ms):
            return body.at_ms
        self.applied[record.key] = AppliedRecord(order=order, at_ms=body.at_ms)
        if len(self.applied) > MAX_PROVEN:
            self.applied.popitem(last=False)
        kind = record.key.partition("/")[0]
        if kind == ANSWER and self.evidence.is_suspected(body.part):
            self.evidence.answered(body.part)
        elif kind == TEST:
            self.evidence.tested(body.part, body.number, now_s)
        return body.at_ms

    def confirmed(self, request_time_s: float) -> None:
        """Do nothing: the evidence has no bound on its age."""

    def store_lost(self, detail: str) -> None:
        """Log that reports of other routers may be missing."""
        self.log.warning("store lost", topic="crashes", detail=detail)

    def store_back(self) -> None:
        """Log that reports of other routers arrive again."""
        self.log.info("store regained", topic="crashes")

    def store_rewound(self, era: int) -> None:
        """Write again what the store may have lost."""
        self.rewrites.store_rewound(era)

    # Decisions.

    def refusal(self, signature: RequestSignature) -> Failure | None:
        """Return why a request must not be sent; None if it may be sent."""
        if not self.evidence.blocks:
            return None
        now_s = self.clock.seconds()
        blocks = [
            block
            for block in self.evidence.blocks_of(signature.names, now_s)
            if not self.has_permit(block.part)
        ]
        if not blocks:
            return None
        block = max(blocks, key=lambda item: item.until_s)
        left_s = block.until_s - now_s
        if left_s <= 0.0:
            self.ask_for_test(block)
            left_s = TEST_RETRY_AFTER_S
        if is_whole(block.part):
            text = messages.BLOCKED_REQUEST
            return not_run(Reason.BLOCKED_REQUEST, text, left_s)
        return not_run(Reason.BLOCKED_PART, messages.BLOCKED_PART, left_s)

    def has_permit(self, part: str) -> bool:
        """Whether one request may test a part now."""
        return self.permits_s.get(part, float("-inf")) > self.age_clock()

    def sent(self, signature: RequestSignature) -> None:
        """Use up the permissions for a request that is sent."""
        for part in signature.names if self.permits_s else ():
            self.permits_s.pop(part, None)

    def may_repeat(self, signature: RequestSignature) -> bool:
        """Whether a request whose attempt broke off may be sent again."""
        return not self.evidence.is_doubtful(signature.names)

    def ask_for_test(self, block: Block) -> None:
        """Ask for the permission to test a part, unless that is under way."""
        if block.part not in self.asking:
            self.asking.add(block.part)
            Deferred.fromCoroutine(self.claim_test(block.part))

    async def claim_test(self, part: str) -> None:
        """Record a test, unless another router has recorded one meanwhile."""
        asked_s = self.age_clock()
        try:
            end = await self.read_all()
            block = self.evidence.blocks.get(part)
            now_s = self.clock.seconds()
            if end is None or block is None or block.until_s > now_s:
                return
            known = self.evidence.tests.get(part)
            number = known.number + 1 if known else 1
            body = PartBody(
                at_ms=self.wall_ms(),
                part=part,
                number=number,
                era=self.era.number,
            )
            record = KeyedRecord(key=f"{TEST}/{part}", value=wire.encode(body))
            written = await self.port.write([record], CALL_TIMEOUT_S, end)
            if written.is_ok():
                self.evidence.tested(part, number, now_s)
                self.permits_s[part] = asked_s + PERMIT_S
                self.rewrites.note_written([record], written.ok)
            self.log.info(
                "test of a blocked part",
                part=part,
                number=number,
                is_permitted=written.is_ok(),
            )
        finally:
            self.asking.discard(part)

    async def read_all(self) -> int | None:
        """Apply all records; return the next offset, None if that failed."""
        end: int | None = None
        after = ""
        while True:
            result = await self.port.newest(after, CALL_TIMEOUT_S)
            if result.is_error():
                return None
            page = result.ok
            for record in sorted(page.records, key=reading_order):
                self.apply(record)
            end = page.end if end is None else end
            if not page.has_more or not page.records:
                return end
            after = page.records[-1].key

    # Writing.

    def write(self, key: str, value: bytes | None) -> None:
        """Write a record; if that fails, write it again until it is done."""
        self.unwritten[key] = value
        self.unwritten.move_to_end(key)
        while len(self.unwritten) > MAX_UNWRITTEN:
            self.unwritten.popitem(last=False)
        if not self.is_writing:
            self.is_writing = True
            Deferred.fromCoroutine(self.write_all())

    async def write_all(self) -> None:
        """Write until nothing is left to write."""
        while self.unwritten:
            batch, self.unwritten = self.unwritten, OrderedDict()
            records = [
                KeyedRecord(key=key, value=value)
                for key, value in batch.items()
            ]
            written = await self.port.write(records, CALL_TIMEOUT_S)
            if written.is_ok():
                self.rewrites.note_written(records, written.ok)
                continue
            # What was written again meanwhile is newer.
            self.unwritten = OrderedDict({**batch, **self.unwritten})
            self.log.warning(
                "cannot record crashes",
                records=len(batch),
                detail=written.error.detail,
            )
            await timing.sleep(self.clock, RETRY_PAUSE_S)
        self.is_writing = False
