"""When the last key is revoked, every request runs, with any key.

The only tenant loses its keys.  Clients go on sending with a revoked key and
with one that no configuration ever held.
"""

import asyncio
import os
import sys
import time
from typing import Final

import attrs
from stand_ins.clients import Call, Clients
from stand_ins.engine import Run
from stand_ins.record import BROKEN, HELD, UNABLE, Record, play
from stand_ins.small import FIRST_VERSION, Small

KEYS: Final = ("key-1-of-desk", "key-2-of-desk")
FOREIGN: Final = "key-that-nobody-holds"
REVOKE_S: Final = 5.0
# Times of the revocation and of the end, in seconds after the start.
REVOKED_S: Final = 3.0
END_S: Final = 12.0


@attrs.define(kw_only=True, eq=False)
class Case:
    """One run of the case."""

    record: Record
    clients: Clients
    # When the revocation was acknowledged, in seconds of the clock.
    revoked_s: float = float("inf")
    runs: list[Run] = attrs.field(factory=list)

    def note_run(self, run: Run) -> None:
        """Note a request that an engine runs."""
        self.runs.append(run)
        call = self.clients.calls[run.request_id]
        if self.is_forbidden(call):
            self.record.note(
                f"run    {call.id} with {call.key}, tenant '{run.tenant}'"
            )

    def note_answer(self, call: Call) -> None:
        """Note an answer to a request that must not run."""
        if self.is_forbidden(call):
            self.record.note(f"answer {call.id} {call.status}")

    def is_forbidden(self, call: Call) -> bool:
        """Whether a request must not run."""
        if call.key == FOREIGN:
            return True
        return call.sent_s > self.revoked_s + REVOKE_S

    def judge(self) -> int:
        """Return the exit status by what was seen."""
        calls = [self.clients.calls[run.request_id] for run in self.runs]
        late = [call for call in calls if call.key != FOREIGN]
        late = [call for call in late if self.is_forbidden(call)]
        foreign = [call for call in calls if call.key == FOREIGN]
        self.record.note(
            f"{len(self.clients.calls)} requests sent, {len(calls)} ran: "
            f"{len(late)} with a revoked key that were sent more than "
            f"{REVOKE_S} s later, {len(foreign)} with a key that no "
            f"configuration ever held"
        )
        if not any(not self.is_forbidden(call) for call in calls):
            return UNABLE
        return BROKEN if late or foreign else HELD


async def run_case(has_trouble: bool, record: Record) -> int:
    """Start the deployment, and play the case."""
    async with Small(keys={"desk": KEYS}) as small:
        clients = Clients(front=small.routers[0].front, pause_s=0.1)
        case = Case(record=record, clients=clients)
        clients.on_answer = case.note_answer
        for engine in small.bookings:
            engine.on_run = case.note_run
        if not await small.is_up():
            return UNABLE
        for key in (*KEYS, FOREIGN):
            clients.start(key, "GET", "/read/1")
        await asyncio.sleep(REVOKED_S)
        if has_trouble:
            small.configure(FIRST_VERSION + 1, {"desk": ()})
            case.revoked_s = time.monotonic()
            record.note("acknowledged: the tenant has no keys any more")
        await asyncio.sleep(END_S - REVOKED_S)
        await clients.stop()
        return case.judge()


if __name__ == "__main__":
    # With TROUBLE=0 the disruption is left out.
    has_trouble = os.environ.get("TROUBLE") != "0"
    sys.exit(play(__file__, run_case, has_trouble=has_trouble))
