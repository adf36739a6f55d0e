"""Follows the configuration stream and submits commands to it.

A process takes its first configuration from a peer or from the log, whichever
answers first, and then reads new records from the log.  A command counts as
accepted only after this process has read its own record back and folded it as
accepted.
"""

import random
from collections.abc import Callable

import attrs
from expression import Error, Ok, Result

from sequoiawind import config_fold, defaults, messages, timing
from sequoiawind.blackboard import Blackboard
from sequoiawind.commands import Command
from sequoiawind.config_fold import Decision
from sequoiawind.ports import Clock, LogPort, LogRecord
from sequoiawind.verdict import Failure, Reason, may_have_run, not_run


@attrs.define(kw_only=True)
class ConfigFollower:
    """Controller that keeps the configuration on a blackboard current."""

    board: Blackboard
    log: LogPort
    clock: Clock
    random: random.Random
    # Wall clock in seconds since the epoch, to compare with record times.
    wall: Callable[[], float]
    retention_s: float = defaults.LOG_RETENTION_S
    poll_s: float = defaults.CONFIG_POLL_S
    is_stopped: bool = False
    # When the log stored the last snapshot read, in seconds since the epoch;
    # negative before the first.
    snapshot_time_s: float = -1.0
    # Called after each change of the configuration.
    on_change: Callable[[], None] = attrs.field(default=lambda: None)

    async def run(self) -> None:
        """Poll until stopped.

        Jitter spreads the polls of many daemons over the period.
        """
        while not self.is_stopped:
            await self.catch_up()
            await self.snapshot_if_due()
            pause_s = timing.jittered(
                self.poll_s, defaults.CONFIG_POLL_JITTER, self.random
            )
            await timing.sleep(self.clock, pause_s)

    async def catch_up(self) -> Result[int, Failure]:
        """Fold all records up to the end of the log.

        Returns:
          The offset of the next record; or why the log could not be read.
        """
        while True:
            start = self.board.folded.next_offset
            page = await self.log.read(
                defaults.CONFIG_STREAM, start, defaults.READ_LIMIT
            )
            if page.is_error():
                return Error(page.error)
            if page.ok.first > self.board.folded.next_offset:
                found = await self.load_snapshot()
                if found.is_error():
                    return found
                if self.board.folded.next_offset < page.ok.first:
                    return Error(
                        not_run(
                            Reason.NO_CONFIGURATION,
                            "no snapshot covers the deleted records",
                        )
                    )
                continue
            self.fold_records(page.ok.records)
            if self.board.folded.next_offset >= page.ok.end:
                self.board.config_checked_s = self.clock.seconds()
                return Ok(self.board.folded.next_offset)

    def fold_records(self, records: list[LogRecord]) -> None:
        """Fold the next records, skip others, and put the result in force."""
        folded = self.board.folded
        revision = folded.state.revision
        for record in records:
            if record.offset != folded.next_offset:
                continue
            folded = config_fold.fold(folded, record.offset, record.data)
        # A concurrent reader may have folded more in the meantime.
        if folded.next_offset < self.board.folded.next_offset:
            return
        self.board.put_config(folded)
        if folded.state.revision != revision:
            self.on_change()

    async def load_snapshot(self) -> Result[int, Failure]:
        """Apply the newest readable snapshot in the log.

        Returns:
          The offset of the next record; or why the log could not be read.
        """
        stream = defaults.SNAPSHOT_STREAM
        page = await self.log.read(stream, defaults.BEYOND_END, 1)
        if page.is_error():
            return Error(page.error)
        for offset in range(page.ok.end - 1, page.ok.first - 1, -1):
            page = await self.log.read(stream, offset, 1)
            if page.is_error():
                return Error(page.error)
            if any(map(self.apply_snapshot, page.ok.records)):
                break
        return Ok(self.board.folded.next_offset)

    def apply_snapshot(self, record: LogRecord) -> bool:
        """Apply a snapshot if it is newer than the configuration in force.

        Returns:
          Whether the snapshot could be decoded.
        """
        folded = config_fold.restore(record.data)
        if folded is None:
            return False
        self.snapshot_time_s = record.time_s
        if self.board.offer_config(folded):
            self.on_change()
        return True

    async def snapshot_if_due(self) -> None:
        """Append a snapshot before the log deletes the records it covers.

        Several processes may append one concurrently; snapshots of the same
        offset are equal.
        """
        if self.board.folded.next_offset == 0 or not self.is_snapshot_due():
            return
        # All daemons find the snapshot due; a random choice spreads the work.
        if self.random.random() > defaults.SNAPSHOT_PROBABILITY:
            return
        await self.load_snapshot()
        if not self.is_snapshot_due():
            return
        result = await self.log.append(
            defaults.SNAPSHOT_STREAM, [self.board.snapshot()]
        )
        if result.is_ok():
            await self.load_snapshot()

    def is_snapshot_due(self) -> bool:
        """Whether the newest snapshot is too old, or none has been read."""
        limit_s = self.retention_s * defaults.SNAPSHOT_SHARE_OF_RETENTION
        if self.snapshot_time_s < 0.0:
            return True
        return self.wall() - self.snapshot_time_s > limit_s

    async def submit(
        self, command: Command, actor: str, based_on: int = -1
    ) -> Result[Decision, Failure]:
        """Append a command and wait for the decision on it.

        Args:
          command: The command.
          actor: Name of the operator who submitted it.
          based_on: The revision that it is based on; -1 for any.

        Returns:
          The decision; or a failure, whose verdict says whether the command
          may still take effect.
        """
        command_id = f"{self.random.getrandbits(96):024x}"
        record = config_fold.make_record(command_id, actor, command, based_on)
        appended = await self.log.append(defaults.CONFIG_STREAM, [record])
        if appended.is_error() and appended.error.verdict.value == "not_run":
            return Error(
                not_run(
                    Reason.LOG_UNAVAILABLE, messages.COMMAND_NOT_ACCEPTED, 1.0
                )
            )
        for _ in range(defaults.READ_BACK_ATTEMPTS):
            if (await self.catch_up()).is_ok():
                decision = self.board.folded.decision(command_id)
                if decision is not None:
                    return Ok(decision)
            await timing.sleep(self.clock, defaults.READ_BACK_PAUSE_S)
        return Error(
            may_have_run(
                Reason.LOG_UNAVAILABLE, messages.COMMAND_OUTCOME_UNKNOWN, 1.0
            )
        )
