"""A router that is added during a drill of the store takes a revoked key.

The operator revokes a key.  Later the store is away for a moment and comes back
from a copy that is some seconds old.  A router is added before the operator's
newest configuration is written again.
"""

import asyncio
import sys
import time
from typing import Final

import attrs
from stand_ins.clients import Call, Clients
from stand_ins.engine import Run
from stand_ins.record import BROKEN, HELD, UNABLE, Record, play
from stand_ins.small import FIRST_VERSION, Small
from stand_ins.store import OPERATOR_TOPIC

KEY: Final = "key-of-desk"
REVOKED: Final = "key-that-is-revoked"
REVOKE_S: Final = 5.0
# Time from the acknowledgement of the revocation to the drill, how long the
# store is away, and when the operator's last writes are there again after that.
DRILL_AFTER_S: Final = 5.5
AWAY_S: Final = 0.5
WRITTEN_AGAIN_S: Final = 2.0
# Time from the start to the revocation, and from there to the end, in seconds.
REVOKED_S: Final = 2.0
END_S: Final = 14.0


@attrs.define(kw_only=True, eq=False)
class Case:
    """One run of the case."""

    record: Record
    small: Small
    clients: Clients
    # Clients of the router that is added; without one, also of the first.
    late_clients: Clients
    # When the revocation was acknowledged, in seconds of the clock.
    revoked_s: float = float("inf")
    runs: list[Run] = attrs.field(factory=list)

    def note_run(self, run: Run) -> None:
        """Note a request that an engine runs."""
        self.runs.append(run)
        if self.is_forbidden(self.call_of(run.request_id)):
            self.record.note(f"run    {run.request_id} at {run.engine}")

    def call_of(self, request_id: str) -> Call:
        """Return a request by its id."""
        known = self.clients.calls.get(request_id)
        return known or self.late_clients.calls[request_id]

    def note_answer(self, call: Call) -> None:
        """Note an answer to a request that must not run."""
        if self.is_forbidden(call):
            self.record.note(f"answer {call.id} {call.status}")

    def is_forbidden(self, call: Call) -> bool:
        """Whether a request was sent when its key must not work any more."""
        if call.key != REVOKED:
            return False
        return call.sent_s > self.revoked_s + REVOKE_S

    def put_newest(self) -> None:
        """Write the newest configuration."""
        self.small.configure(FIRST_VERSION + 1, {"desk": [KEY]})

    async def drill(self, copy_end: int) -> None:
        """Let the store come back from a copy; a router is added then."""
        store = self.small.store
        self.record.note("the store is away")
        store.server.cut()
        await asyncio.sleep(AWAY_S)
        store.return_from(OPERATOR_TOPIC, copy_end)
        await store.server.listen()
        self.record.note("the store is back from a copy, with the key")
        added = self.small.add_router()
        self.late_clients.front = added.front
        self.record.note(f"{added.name} is added")
        await asyncio.sleep(WRITTEN_AGAIN_S)
        self.put_newest()
        self.record.note("the newest configuration is written again")

    async def play(self, has_trouble: bool) -> int:
        """Play the case; return the exit status."""
        if not await self.small.is_up():
            return UNABLE
        for key in (KEY, REVOKED):
            self.clients.start(key, "GET", "/read/1")
        await asyncio.sleep(REVOKED_S)
        copy_end = len(self.small.store.topics[OPERATOR_TOPIC])
        self.put_newest()
        self.revoked_s = time.monotonic()
        self.record.note("acknowledged: a configuration without the key")
        await asyncio.sleep(DRILL_AFTER_S)
        self.late_clients.start(REVOKED, "GET", "/read/1")
        if has_trouble:
            await self.drill(copy_end)
        await asyncio.sleep(self.revoked_s + END_S - time.monotonic())
        await self.clients.stop()
        await self.late_clients.stop()
        return self.judge()

    def judge(self) -> int:
        """Return the exit status by what was seen."""
        calls = [self.call_of(run.request_id) for run in self.runs]
        good = [call for call in calls if call.key == KEY]
        late = [call for call in calls if self.is_forbidden(call)]
        early = [call for call in calls if call.key == REVOKED]
        self.record.note(
            f"{len(good)} requests with the good key ran; with the revoked "
            f"key {len(early)} ran, "
            f"{len(late)} of them sent more than {REVOKE_S} s after the "
            f"revocation"
        )
        if not good or len(early) == len(late):
            return UNABLE
        return BROKEN if late else HELD


async def run_case(has_trouble: bool, record: Record) -> int:
    """Start the deployment, and play the case."""
    async with Small(keys={"desk": [KEY, REVOKED]}, spare_count=1) as small:
        front = small.routers[0].front
        case = Case(
            record=record,
            small=small,
            clients=Clients(front=front, pause_s=0.1),
            late_clients=Clients(front=front, pause_s=0.02),
        )
        case.clients.on_answer = case.note_answer
        case.late_clients.on_answer = case.note_answer
        for engine in small.bookings:
            engine.on_run = case.note_run
        return await case.play(has_trouble)


if __name__ == "__main__":
    sys.exit(play(__file__, run_case))
