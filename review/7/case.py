"""A stream that began at one software version goes on at another.

The engines of a service are replaced by ones of another version.  All routers
are killed at the same moment, while the old engines leave.  Clients take their
streams up again at the routers that have just started.
"""

import asyncio
import random
import sys
import time
from typing import Final

import attrs
from stand_ins.config import HOST
from stand_ins.http import read_head
from stand_ins.record import BROKEN, HELD, UNABLE, Record, play
from stand_ins.small import Small
from stand_ins.store import SERVERS_TOPIC

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
STARTED_S: Final = 3.6
END_S: Final = 13.0
# A client comes back so long after its connection has broken, and again after
# each refusal, within the time that it waits for its stream; in seconds.
COME_BACK_S: Final = 1.0
AGAIN_S: Final = 0.5
DEADLINE_MS: Final = 12_000


@attrs.define(kw_only=True, eq=False)
class Client:
    """A client of one stream, which it takes up again when it breaks."""

    small: Small
    record: Record
    number: int
    first_id: str = ""
    last_event: int = 0
    # Software versions of the engines whose events it has.
    versions: list[str] = attrs.field(factory=list)

    async def run(self) -> None:
        """Get the stream; come back until it is whole."""
        ends_s = time.monotonic() + DEADLINE_MS / 1000
        while time.monotonic() < ends_s:
            router = random.choice(self.small.routers)
            try:
                status = await self.read(router.front)
            except (OSError, EOFError, ValueError):
                status = 0
            self.record.note(
                f"client {self.number} at {router.name}: status {status}, "
                f"events up to {self.last_event}, of {set(self.versions)}"
            )
            if status == 200 and self.last_event == 24:
                return
            await asyncio.sleep(COME_BACK_S if status == 0 else AGAIN_S)

    async def read(self, front: str) -> int:
        """Send the request, and read events to the end; return the status."""
        host, _, port = front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        request_id = f"{random.getrandbits(64):016x}"
        lines = [
            "POST /draft/1 HTTP/1.1",
            f"Host: {HOST}",
            f"Sequoiawind-Attempt-Id: {request_id}",
            f"Sequoiawind-Deadline-Ms: {DEADLINE_MS}",
            f"Authorization: Token {KEY}",
            "Sequoiawind-Model: m1",
            "Sequoiawind-Token-Count: 600,49",
            f"Sequoiawind-Prompt-Prefix: 5c1e07a2:198,{request_id}:402",
            "Content-Length: 3",
        ]
        if self.last_event:
            lines.append(f"Last-Event-Id: {self.last_event}")
            lines.append(f"Resumes: {self.first_id}")
        try:
            writer.write("\r\n".join([*lines, "", "abc"]).encode())
            first, _ = await read_head(reader)
            status = int(first.split(" ")[1])
            while status == 200:
                size = int(await reader.readline(), 16)
                if not size:
                    break
                self.take(await reader.readexactly(size), request_id)
                await reader.readexactly(2)
        finally:
            writer.close()
        return status

    def take(self, event: bytes, request_id: str) -> None:
        """Keep an event."""
        lines = event.decode().split("\n")
        self.first_id = self.first_id or request_id
        self.last_event = int(lines[0].removeprefix("id: "))
        self.versions.append(lines[1].removeprefix("data: "))


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
        await asyncio.sleep(1.0)
        clients = [
            Client(small=small, record=record, number=number)
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
                f"mixed  client {client.number}: events 1 to {place} of v1, "
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
    sys.exit(play(__file__, run_case))
