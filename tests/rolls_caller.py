"""The callers of the soak of rolling stops."""

import asyncio
import random
import re
import socket
import time
from contextlib import suppress
from typing import TYPE_CHECKING

import attrs

from tests.rolls_state import ACCOUNTS, Router, Sent

if TYPE_CHECKING:
    from tests.soak_of_rolls import Roll

EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


@attrs.define(kw_only=True, eq=False)
class Caller:
    """One caller, with a connection that it keeps."""

    roll: "Roll"
    number: int
    random: "random.Random" = attrs.field(init=False)
    count: int = 0

    def __attrs_post_init__(self) -> None:
        """Seed the choices."""
        self.random = random.Random(f"{self.roll.seed}-{self.number}")

    async def run(self) -> None:
        """Send requests until the end."""
        roll = self.roll
        while not roll.is_over:
            ready = [r for r in roll.routers if r.misses < 2] or roll.routers
            router = self.random.choice(ready)
            try:
                pair = await self.connect(router)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            uses = self.random.choice((1, 4, 20))
            for _ in range(uses):
                if roll.is_over or not await self.use(*pair, router):
                    break
                rest_s = self.roll.form.rest_s
                await asyncio.sleep(self.random.choice((0.0, 0.1, rest_s)))
            with suppress(ConnectionError):
                pair[1].close()

    async def connect(
        self, router: Router
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection; that of a slow reader has a small buffer."""
        sock = socket.socket()
        sock.setblocking(False)
        if self.roll.form.slow:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (router.host, 8782))
        return await asyncio.open_connection(sock=sock, limit=4_096)

    async def use(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        router: Router,
    ) -> bool:
        """Send a request; return whether the connection may be used again."""
        form, choose = self.roll.form, self.random
        self.count += 1
        route = choose.choice(("draft", "draft", "draft", "brief", "book"))
        is_chunked = choose.random() < 0.4
        shapes = {
            "slow": choose.random() < form.slow and route != "book",
            "half": choose.random() < form.halves,
            "half-closed": choose.random() < form.half_closed,
            "pause": choose.random() < form.pauses,
            "chunked": is_chunked,
        }
        sent = Sent(
            name=f"{self.number:x}-{self.count:x}",
            route=route,
            router=router.name,
            shape=",".join(name for name, holds in shapes.items() if holds),
            deadline_s=choose.choice(form.deadlines_s),
        )
        head = [
            f"POST /{route}/x HTTP/1.1",
            "Host: h.example",
            f"Authorization: Token key-{choose.choice(ACCOUNTS)}",
            "Transfer-Encoding: chunked" if is_chunked else "Content-Length: 4",
        ]
        if route != "book":
            parts = f"aa{choose.randrange(12):x}:200,{self.count:x}:600"
            head += [
                "Sequoiawind-Model: m",
                "Sequoiawind-Token-Count: 800,70",
                f"Sequoiawind-Prompt-Prefix: {parts}",
                f"X-Events: {choose.randint(*form.events)}",
                f"X-Step-Ms: {choose.choice((4, 10, 30))}",
                f"X-Event-Bytes: {form.event_bytes}",
            ]
            if shapes["pause"]:
                head.append(f"X-Pause-Ms: {choose.choice((500, 1500, 3500))}")
        is_kept = await self.send(reader, writer, sent, head)
        if form.takes_up and route == "draft":
            await self.take_up(sent, head)
        return is_kept and not shapes["half-closed"]

    async def take_up(self, cut: Sent, head: list[str]) -> None:
        """Take a cut stream up at another router, once."""
        left_s = cut.deadline_s - (time.monotonic() - cut.sent_s)
        is_cut = cut.status == 200 and not cut.is_whole
        others = [
            router
            for router in self.roll.routers
            if router.misses < 2 and router.name != cut.router
        ]
        if not is_cut or not cut.last_event or left_s <= 0.1 or not others:
            return
        router = self.random.choice(others)
        sent = Sent(
            name=f"{cut.name}-r",
            route=cut.route,
            router=router.name,
            shape=cut.shape,
            deadline_s=left_s,
            resumes=cut.name,
            last_event=cut.last_event,
        )
        more = [f"Last-Event-Id: {cut.last_event}", f"Resumes: {cut.name}"]
        with suppress(OSError):
            reader, writer = await self.connect(router)
            await self.send(reader, writer, sent, [*head, *more])
            writer.close()

    async def send(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sent: Sent,
        head: list[str],
    ) -> bool:
        """Send a request and read its answer; return whether to go on."""
        choose = self.random
        lines = [
            *head,
            f"Sequoiawind-Attempt-Id: {sent.name}",
            f"Sequoiawind-Deadline-Ms: {int(sent.deadline_s * 1000)}",
        ]
        is_chunked = "chunked" in sent.shape
        body = "4\r\nbody\r\n0\r\n\r\n" if is_chunked else "body"
        data = "\r\n".join([*lines, "", body]).encode()
        sent.began_s = time.monotonic()
        try:
            if "half" in sent.shape.split(","):
                writer.write(data[:-3])
                await asyncio.sleep(choose.uniform(0.0, 2.0))
                writer.write(data[-3:])
            else:
                writer.write(data)
            await writer.drain()
            if "half-closed" in sent.shape:
                writer.write_eof()
        except ConnectionError:
            return False
        sent.sent_s = time.monotonic()
        self.roll.requests.append(sent)
        is_kept = False
        with suppress(
            asyncio.IncompleteReadError, ConnectionError, TimeoutError
        ):
            async with asyncio.timeout(sent.deadline_s + 1.0):
                is_kept = await self.read(reader, sent, "slow" in sent.shape)
        sent.ended_s = time.monotonic()
        return is_kept

    async def read(
        self, reader: asyncio.StreamReader, sent: Sent, is_slow: bool
    ) -> bool:
        """Read an answer; return whether the connection is kept."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        sent.status = int(head[9:12])
        if "chunked" in head:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                data = await reader.readexactly(size + 2)
                for found in EVENT_ID.findall(data):
                    if int(found) != sent.last_event + 1:
                        sent.is_disordered = True
                    sent.last_event = int(found)
                if is_slow:
                    await asyncio.sleep(size / self.roll.form.slow_bytes_per_s)
            await reader.readexactly(2)
        else:
            length = int(head.partition("content-length: ")[2].split()[0])
            await reader.readexactly(length)
        sent.is_whole = True
        return "connection: close" not in head
