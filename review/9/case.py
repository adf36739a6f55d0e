"""Streams can't be taken up again after a drill of the store.

Two software versions of an engine serve.  The store comes back from a copy that
is older than the streams.  Then a router is stopped, and the clients take the
streams that it breaks off up again at the other router.
"""

import asyncio
import os
import signal
import sys
import time
from typing import Final

from stand_ins.record import BROKEN, HELD, UNABLE, Record, play
from stand_ins.small import Small
from stand_ins.streams import StreamClient

KEY: Final = "key-of-desk"
STREAMS: Final = 14
# So many streams that are taken up again are judged at least, and the share of
# them that goes on is at least this part of the share of new ones that begin.
JUDGED: Final = 12
LEAST_SHARE: Final = 0.5
# Name of the topic in which routers record the origins of streams.
ORIGINS_TOPIC: Final = "stream-origins"
# Times after the streams have begun, in seconds: the store is away and comes
# back; the first router gets SIGTERM; the end.
AWAY_S: Final = 3.0
BACK_S: Final = 3.5
TERM_S: Final = 4.5
END_S: Final = 23.0
# Streams last for 20 s.
EVENTS: Final = 80
DEADLINE_MS: Final = 25_000


async def until(at_s: float) -> None:
    """Wait until a time of the steady clock."""
    await asyncio.sleep(at_s - time.monotonic())


async def drill(
    small: Small, record: Record, copy_end: int, began_s: float
) -> None:
    """Let the store return from a copy without what routers wrote since."""
    store = small.store
    await until(began_s + AWAY_S)
    store.server.cut()
    record.note("the store is away")
    await until(began_s + BACK_S)
    lost = len(store.topics.get(ORIGINS_TOPIC, ())) - copy_end
    store.return_from(ORIGINS_TOPIC, copy_end)
    await store.server.listen()
    record.note(f"the store is back from a copy, without {lost} origins")


def judge(
    record: Record, old: list[StreamClient], new: list[StreamClient]
) -> int:
    """Return the exit status by what the clients have got."""
    resumed = [client for client in old if client.resumes]
    gone_on = [client for client in resumed if client.has_gone_on]
    begun = [client for client in new if client.last_event]
    record.note(
        f"{len(resumed)} streams were taken up again, {len(gone_on)} of them "
        f"went on; {len(begun)} of {len(new)} new streams began"
    )
    if len(resumed) < JUDGED or not begun:
        return UNABLE
    share = len(gone_on) / len(resumed)
    is_held = share >= LEAST_SHARE * len(begun) / len(new)
    return HELD if is_held else BROKEN


async def run_case(has_trouble: bool, record: Record) -> int:
    """Start the deployment, and play the case."""
    async with Small(
        keys={"desk": [KEY]}, router_count=2, spare_engines=2
    ) as small:
        if not await small.is_up():
            return UNABLE
        for _ in range(small.spare_engines):
            await small.add_engine("v2")
        for engine in small.models:
            engine.events_count = EVENTS
        await asyncio.sleep(3.0)
        first, second = small.routers
        tasks: list[asyncio.Task[None]] = []

        def start(name: str) -> StreamClient:
            client = StreamClient(
                name=name,
                key=KEY,
                routers=[first],
                record=record,
                events_count=EVENTS,
                deadline_ms=DEADLINE_MS,
            )
            tasks.append(asyncio.create_task(client.run()))
            return client

        began_s = time.monotonic()
        copy_end = len(small.store.topics.get(ORIGINS_TOPIC, ()))
        old = [start(f"{number}") for number in range(STREAMS)]
        if has_trouble:
            await drill(small, record, copy_end, began_s)
        await until(began_s + TERM_S)
        first.send(signal.SIGTERM)
        record.note(f"{first.name} gets SIGTERM")
        for client in old:
            client.routers = [second]
        new = [start(f"new-{number}") for number in range(STREAMS)]
        for client in new:
            client.routers = [second]
        await until(began_s + END_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return judge(record, old, new)


if __name__ == "__main__":
    # With TROUBLE=0 the disruption is left out.
    has_trouble = os.environ.get("TROUBLE") != "0"
    sys.exit(play(__file__, run_case, has_trouble=has_trouble))
