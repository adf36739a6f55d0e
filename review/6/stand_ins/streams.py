"""Clients of resumable streams, which they take up again when they break."""

import asyncio
import random
import time
from collections.abc import Sequence
from typing import Final

import attrs

from stand_ins.config import HOST
from stand_ins.deployment import Machine
from stand_ins.http import read_head
from stand_ins.record import Record

# A client comes back so long after its connection has broken, and again after
# each refusal, within the time that it waits for its stream; in seconds.
COME_BACK_S: Final = 1.0
AGAIN_S: Final = 0.5


@attrs.define(kw_only=True, eq=False)
class StreamClient:
    """A client of one stream."""

    name: str
    key: str
    # The routers to which it may connect.
    routers: Sequence[Machine]
    record: Record
    # Number of the stream's last event.
    events_count: int
    deadline_ms: int
    first_id: str = ""
    last_event: int = 0
    # Software versions of the engines whose events it has.
    versions: list[str] = attrs.field(factory=list)
    # How often it has tried to take its stream up again, and whether events
    # came then.
    resumes: int = 0
    has_gone_on: bool = False

    async def run(self) -> None:
        """Get the stream; come back until it is whole."""
        ends_s = time.monotonic() + self.deadline_ms / 1000
        while time.monotonic() < ends_s:
            router = random.choice(self.routers)
            if self.last_event:
                self.resumes += 1
            try:
                status = await self.read(router.front)
            except (OSError, EOFError, ValueError):
                status = 0
            self.record.note(
                f"client {self.name} at {router.name}: status {status}, "
                f"events up to {self.last_event}, of {set(self.versions)}"
            )
            if status == 200 and self.last_event == self.events_count:
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
            f"Sequoiawind-Deadline-Ms: {self.deadline_ms}",
            f"Authorization: Token {self.key}",
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
        self.has_gone_on = self.resumes > 0
