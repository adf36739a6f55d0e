"""A stream that began at one software version goes on at another.

The engines of a service are replaced by ones of another version.  All routers
are killed at the same moment, while the old engines leave.  Clients take their
streams up again at the routers that have just started.
"""

import asyncio
import os
import sys
import time
from typing import Final

from stand_ins.record import BROKEN, HELD, UNABLE, Record, play
from stand_ins.small import Small
from stand_ins.store import SERVERS_TOPIC
from stand_ins.streams import StreamClient

KEY: Final = "key-of-desk"
STREAMS: Final = 6
# More mixed streams than these break the rule.
MIXED_ALLOWED: Final = 2
# Times after the streams have begun, in seconds. Two releases replace one of
# the two engines each: the new one starts, the old one says that it leaves, and
# ends.
NEW_S: Final = (1.0, 1.4)
LEAVING_S: Final = (1.2, 1.6)
ENDED_S: Final = (3.25, 3.65)
# The routers are killed, and started again.
KILLED_S: Final = 3.1
STARTED_S: Final = 4.6
END_S: Final = 13.0
EVENTS: Final = 24
DEADLINE_MS: Final = 12_000


async def until(at_s: float) -> None:
    """Wait until a time of the steady clock."""
    await asyncio.sleep(at_s - time.monotonic())


async def replace_engine(
    small: Small, record: Record, number: int, began_s: float
) -> None:
    """Replace a model engine by one of another version, as a release does."""
    engine, agent = small.beside(small.model_engines)[number]
    await until(began_s + NEW_S[number])
    added = await small.add_engine("v2")
    record.note(f"engine {added.id} of software v2 has started")
    await until(began_s + LEAVING_S[number])
    engine.is_leaving = True
    engine.register()
    record.note(f"engine {engine.id} of software v1 says that it leaves")
    await until(began_s + ENDED_S[number])
    engine.crash()
    agent.kill()
    small.store.put(SERVERS_TOPIC, engine.id, None)
    record.note(f"engine {engine.id} has ended, and its entry is removed")


async def kill_routers(small: Small, record: Record, began_s: float) -> None:
    """Kill all routers at once; the platform starts them again."""
    await until(began_s + KILLED_S)
    for router in small.routers:
        router.kill()
    record.note("all routers are killed")
    await until(began_s + STARTED_S)
    for router in small.routers:
        router.start()
    record.note("the routers are started again")


async def run_case(has_trouble: bool, record: Record) -> int:
    """Start the deployment, and play the case."""
    async with Small(
        keys={"desk": [KEY]}, router_count=2, spare_engines=2
    ) as small:
        if not await small.is_up():
            return UNABLE
        for engine in small.models:
            engine.events_count = EVENTS
        await asyncio.sleep(1.0)
        clients = [
            StreamClient(
                name=str(number),
                key=KEY,
                routers=small.routers,
                record=record,
                events_count=EVENTS,
                deadline_ms=DEADLINE_MS,
            )
            for number in range(STREAMS)
        ]
        began_s = time.monotonic()
        tasks = [asyncio.create_task(client.run()) for client in clients]
        work = [
            replace_engine(small, record, number, began_s)
            for number in range(small.model_engines)
        ]
        if has_trouble:
            work.append(kill_routers(small, record, began_s))
        await asyncio.gather(*work)
        await asyncio.wait(tasks, timeout=began_s + END_S - time.monotonic())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        begun = [client for client in clients if "v1" in client.versions]
        mixed = [client for client in begun if "v2" in client.versions]
        for client in mixed:
            place = client.versions.index("v2")
            record.note(
                f"mixed  client {client.name}: events 1 to {place} of v1, "
                f"then {len(client.versions) - place} of v2"
            )
        record.note(
            f"{len(begun)} streams began at v1; {len(mixed)} hold events of "
            f"both versions"
        )
        if len(begun) <= MIXED_ALLOWED:
            return UNABLE
        return BROKEN if len(mixed) > MIXED_ALLOWED else HELD


if __name__ == "__main__":
    # With TROUBLE=0 the disruption is left out.
    has_trouble = os.environ.get("TROUBLE") != "0"
    sys.exit(play(__file__, run_case, has_trouble=has_trouble))
