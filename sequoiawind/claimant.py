"""Runs an action at most once: claim the key, send, record the outcome.

Only the process whose claim is first in the log sends, and it sends once.  A
claim that could not be read back is abandoned: nothing is sent, and a release
is appended through the outbox, which also voids a claim that reaches the log
late.
"""

import random
from collections.abc import Callable

import attrs
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred

from sequoiawind import claims, defaults, invariants, messages, timing
from sequoiawind.appender import GroupAppender, Outbox
from sequoiawind.claims import Claim, ClaimEntry, ClaimTable, Outcome, Release
from sequoiawind.ports import Clock, LogPage, LogPort
from sequoiawind.verdict import Failure, Reason, may_have_run, not_run
from sequoiawind.wire import Reply

EXPIRED_CLAIM: Failure = not_run(
    Reason.CLAIM_EXPIRED, messages.CLAIM_EXPIRED, 1.0
)


@attrs.define(kw_only=True)
class ClaimStream:
    """One claim stream: its table, its pending appends and its readers."""

    name: str
    log: LogPort
    clock: Clock
    random: random.Random
    table: ClaimTable = attrs.field(factory=ClaimTable)
    appender: GroupAppender = attrs.field(init=False)
    outbox: Outbox = attrs.field(init=False)
    # Whether a read is in progress, and the callers that wait for the next.
    reading: bool = False
    next_readers: list[Deferred[Result[int, Failure]]] = attrs.field(
        factory=list
    )

    def __attrs_post_init__(self) -> None:
        """Create the appender and the outbox of this stream."""
        self.appender = GroupAppender(log=self.log, stream=self.name)
        self.outbox = Outbox(
            appender=self.appender, clock=self.clock, random=self.random
        )

    def catch_up(self) -> Deferred[Result[int, Failure]]:
        """Fold all records that the log holds at the time of the call.

        Calls made while a read is in progress share the next one.

        Returns:
          The offset of the next record, or why the log was not read.
        """
        done: Deferred[Result[int, Failure]] = Deferred()
        self.next_readers.append(done)
        if not self.reading:
            Deferred.fromCoroutine(self.read_rounds())
        return done

    async def read_rounds(self) -> None:
        """Read the stream until no caller is waiting."""
        self.reading = True
        while self.next_readers:
            readers, self.next_readers = self.next_readers, []
            result = await self.read_to_end()
            for reader in readers:
                reader.callback(result)
        self.reading = False

    async def read_to_end(self) -> Result[int, Failure]:
        """Read and fold until the end of the stream."""
        while True:
            page = await self.log.read(
                self.name, self.table.next_offset, defaults.READ_LIMIT
            )
            if page.is_error():
                return Error(page.error)
            self.fold_page(page.ok)
            if self.table.next_offset >= page.ok.end:
                return Ok(self.table.next_offset)

    def fold_page(self, page: LogPage) -> None:
        """Fold the records of a page.

        Records dropped by the log's retention are older than any key that is
        still accepted, so a reader that fell behind continues at the oldest
        record.
        """
        for record in page.records:
            if record.offset >= self.table.next_offset:
                self.table.fold(record.offset, record.time_s, record.data)
        if self.table.next_offset < page.first:
            self.table.next_offset = page.first


@attrs.define(kw_only=True)
class Claimant:
    """Claims keys for one process and records the outcomes."""

    log: LogPort
    clock: Clock
    random: random.Random
    owner: str
    streams: dict[str, ClaimStream] = attrs.field(factory=dict)
    # Called with the name of each claim step, for metrics.
    on_step: Callable[[str], None] = attrs.field(default=lambda step: None)

    def stream(self, key: str) -> ClaimStream:
        """Return the stream of a key."""
        name = claims.stream_of(key)
        if name not in self.streams:
            self.streams[name] = ClaimStream(
                name=name, log=self.log, clock=self.clock, random=self.random
            )
        return self.streams[name]

    def make_claim(
        self,
        key: str,
        digest: str,
        kind: str,
        request_id: str,
        valid_until_s: float,
    ) -> Claim:
        """Return a new claim of this process."""
        return Claim(
            claim_id=f"{self.random.getrandbits(96):024x}",
            key=key,
            digest=digest,
            kind=kind,
            owner=self.owner,
            request_id=request_id,
            valid_until_s=valid_until_s,
        )

    async def acquire(self, claim: Claim) -> Result[Reply | None, Failure]:
        """Claim the right to send, or return an earlier request's reply.

        Args:
          claim: A claim made by `make_claim`.

        Returns:
          None if this claim won: the action must now be sent, or the claim
          released; the reply of an earlier request with this key; or a
          failure.
        """
        stream = self.stream(claim.key)
        if claim.key in stream.table.entries:
            await stream.catch_up()
            entry = stream.table.entries.get(claim.key)
            if entry is not None:
                return repeat_answer(entry, claim)
        began_s = self.clock.seconds()
        appended = await stream.appender.append(claims.make_record(claim))
        if appended.is_error() and appended.error.verdict.value == "not_run":
            self.on_step("append_refused")
            return Error(log_unavailable())
        if not await self.read_back(stream, claim, appended):
            self.abandon(claim)
            return Error(log_unavailable())
        entry = stream.table.entries.get(claim.key)
        if entry is None:
            self.on_step("void")
            return Error(not_run(Reason.KEY_TOO_OLD, messages.KEY_TOO_OLD))
        if entry.claim.claim_id != claim.claim_id:
            self.on_step("lost")
            if appended.is_error():
                # This claim may still reach the log after the winner's release.
                self.abandon(claim)
            return repeat_answer(entry, claim)
        if self.clock.seconds() - began_s > defaults.CLAIM_SEND_WINDOW_S:
            self.abandon(claim)
            return Error(EXPIRED_CLAIM)
        self.on_step("won")
        invariants.claim_won(claim.key, claim.claim_id, entry)
        return Ok(None)

    async def read_back(
        self,
        stream: ClaimStream,
        claim: Claim,
        appended: Result[int, Failure],
    ) -> bool:
        """Read the stream back after the claim was appended.

        Returns:
          True if the stream was read, and the append succeeded or the key has
          a holder.
        """
        for _ in range(defaults.READ_BACK_ATTEMPTS):
            result = await stream.catch_up()
            if result.is_ok():
                if appended.is_ok():
                    return True
                entry = stream.table.entries.get(claim.key)
                return entry is not None
            await timing.sleep(self.clock, defaults.READ_BACK_PAUSE_S)
        return False

    def abandon(self, claim: Claim) -> None:
        """Release a claim whose action was not sent, in the background."""
        self.on_step("abandoned")
        self.put(claim.key, Release(claim_id=claim.claim_id, key=claim.key))

    async def release(self, claim: Claim) -> None:
        """Release a claim after proof that nothing was sent.

        Returns when the log has the release, or when the first append has
        failed; the outbox then retries.
        """
        self.on_step("released")
        stream = self.stream(claim.key)
        node = Release(claim_id=claim.claim_id, key=claim.key)
        record = claims.make_record(node)
        if (await stream.appender.append(record)).is_error():
            self.put(claim.key, node)

    def record_outcome(self, claim: Claim, reply: Reply | None) -> None:
        """Record an answer, or that the action may have run without one."""
        self.on_step("outcome" if reply else "unknown")
        node = Outcome(
            claim_id=claim.claim_id,
            key=claim.key,
            known=reply is not None,
            reply=reply,
        )
        self.put(claim.key, node)

    def put(self, key: str, node: claims.ClaimNode) -> None:
        """Append a node in the background, retrying until the log has it."""
        record = claims.make_record(node)
        Deferred.fromCoroutine(self.stream(key).outbox.put(record))

    @property
    def pending(self) -> int:
        """The number of records that the log has not accepted yet."""
        return sum(stream.outbox.pending for stream in self.streams.values())


def repeat_answer(
    entry: ClaimEntry, claim: Claim
) -> Result[Reply | None, Failure]:
    """Return the answer to a request whose key was claimed before."""
    if entry.claim.digest != claim.digest:
        return Error(not_run(Reason.KEY_REUSED, messages.KEY_REUSED))
    if entry.outcome is not None and entry.outcome.known:
        return Ok(entry.outcome.reply)
    if entry.settled is not None and not entry.settled.ran:
        return Error(not_run(Reason.SETTLED, messages.SETTLED_AS_NOT_RUN))
    if entry.settled is not None:
        return Error(may_have_run(Reason.SETTLED, messages.SETTLED_AS_RUN))
    return Error(
        may_have_run(
            Reason.CLAIM_OPEN,
            messages.CLAIM_OPEN,
            defaults.MIN_RETRY_AFTER_S,
        )
    )


def log_unavailable() -> Failure:
    """Return the refusal of a claim that the log has not confirmed."""
    return not_run(
        Reason.LOG_UNAVAILABLE,
        messages.LOG_UNAVAILABLE,
        defaults.MIN_RETRY_AFTER_S,
    )
