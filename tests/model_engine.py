"""A model engine over real sockets, with moves of runs and loads of weights.

It implements the published protocol as far as the soak of rolling stops needs
it.  All engines of a fleet run in one event loop and record what they work on.
"""

import asyncio
import json
import random
import time
from collections import defaultdict
from contextlib import suppress

import attrs

# Time for which an engine loads weights, in seconds.
LOAD_S = 0.4
# Longest time for which a call for cache events waits, in seconds.
EVENTS_WAIT_S = 0.8
SEAL = "Sequoiawind-Server-Seal: s1"


@attrs.define(kw_only=True, eq=False)
class Work:
    """What one engine does for one request; times by the steady clock."""

    engine: str
    began_s: float
    # When it ended, in seconds; infinite while it runs.
    ended_s: float = float("inf")
    # Why: "done", "moved", or "left" if the router has closed the connection.
    end: str = ""


@attrs.define(kw_only=True, eq=False)
class Run:
    """A stream that an engine produces."""

    work: Work
    # Number of the last event that it has made.
    event: int
    is_stopped: bool = False


@attrs.define(kw_only=True, eq=False)
class ModelEngine:
    """One engine, at an address of its own."""

    name: str
    host: str
    zone: str
    slots: int
    random: "random.Random"
    # All engines by address, and what they have worked on, by request.
    peers: "dict[str, ModelEngine]"
    works: dict[str, list[Work]]
    pool: str = "llm"
    # Share of the moves and streams that it refuses for want of room.
    refusals: float = 0.0
    version: int = 1
    orders: int = 0
    is_loading: bool = False
    # Requests that hold a slot, and those that wait for one.
    running: int = 0
    waiting: int = 0
    runs: dict[str, Run] = attrs.field(factory=dict)
    # Events made by the runs whose memory was copied here, by handle.
    memories: dict[str, int] = attrs.field(factory=dict)
    # Moves of its runs, by outcome.
    moves: dict[str, int] = attrs.field(factory=lambda: defaultdict(int))
    address: str = ""
    born_ms: int = attrs.field(factory=lambda: int(time.time() * 1000))
    server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Serve at a free port."""
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"
        self.peers[self.address] = self

    def entry(self) -> dict[str, object]:
        """Return its entry in the store."""
        models = [{"name": "m", "version": self.version}]
        return {
            "service": self.pool,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": self.born_ms,
            "models": models if self.pool == "llm" else [],
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        with suppress(
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            while True:
                raw = await reader.readuntil(b"\r\n\r\n")
                first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
                method, path, _ = first.split(" ")
                pairs = (line.partition(": ") for line in lines)
                found = {name.lower(): value for name, _, value in pairs}
                length = int(found.get("content-length", "0"))
                body = await reader.readexactly(length)
                if path.startswith("/api/"):
                    await self.serve_api(writer, method, path, found, body)
                elif not await self.serve_request(reader, writer, found):
                    break
        with suppress(ConnectionError):
            writer.close()

    async def reply(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        body: object = "",
        *lines: str,
    ) -> None:
        """Send a whole answer."""
        data = body if isinstance(body, str) else json.dumps(body)
        head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(data)}", *lines]
        writer.write("\r\n".join([*head, "", data]).encode())
        await writer.drain()

    async def serve_api(
        self,
        writer: asyncio.StreamWriter,
        method: str,
        path: str,
        found: dict[str, str],
        body: bytes,
    ) -> None:
        """Answer a call of the system."""
        if path == "/api/report":
            await self.reply(writer, 200, self.report())
        elif path == "/api/order":
            await self.take_order(writer, json.loads(body))
        elif path == "/api/kv-move":
            await self.move(writer, json.loads(body))
        elif path.startswith("/api/kv-events"):
            await asyncio.sleep(EVENTS_WAIT_S)
            page = {"boot_epoch": self.born_ms, "next_token": 0}
            await self.reply(writer, 200, page)
        elif method == "DELETE":
            self.memories.clear()
            await self.reply(writer, 200)
        else:
            await self.reply(writer, 404)

    def report(self) -> dict[str, object]:
        """Return the report on its state."""
        models = [{"name": "m", "version": self.version, "adapters": []}]
        return {
            "models": models,
            "busy": self.is_loading,
            "seq": self.orders,
            "waiting": self.waiting,
            "running": self.running,
            "kv_used": 0,
            "state": "ready",
            "born": self.born_ms,
            "runs": [
                [name, 100, run.event, 5] for name, run in self.runs.items()
            ],
        }

    async def take_order(
        self, writer: asyncio.StreamWriter, order: dict[str, int]
    ) -> None:
        """Accept an order to load weights, once all runs have ended."""
        if self.is_loading or order["precondition"] != self.orders:
            await self.reply(writer, 409)
            return
        self.orders += 1
        self.is_loading = True
        await self.reply(writer, 202)
        while self.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(LOAD_S)
        self.version = order["version"]
        self.is_loading = False

    async def move(
        self, writer: asyncio.StreamWriter, order: dict[str, str]
    ) -> None:
        """Copy the memory of a run to another engine; stop it if asked."""
        run = self.runs.get(order["id"])
        if run is None:
            self.moves["no run"] += 1
            await self.reply(writer, 404)
            return
        goal = self.peers.get(order["to"])
        is_full = self.random.random() < self.refusals
        has_room = goal is not None and goal.running < goal.slots
        if order.get("last"):
            run.is_stopped = True
        if goal is None or not has_room or is_full:
            self.moves["no room"] += 1
            await self.reply(writer, 503)
            return
        self.moves["copied"] += 1
        await asyncio.sleep(0.005)
        handle = f"{len(self.memories)}-{order['id']}"
        goal.memories[f"{self.address}/{handle}"] = run.event
        answer = {"handle": handle, "created_rev": run.event}
        await self.reply(writer, 200, answer)

    async def serve_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        found: dict[str, str],
    ) -> bool:
        """Run a request, or refuse it; return whether to keep the connection.

        The caller says in its headers how many events it wants, in which pace
        and of which size.
        """
        name = found["sequoiawind-attempt-id"]
        echo = f"Sequoiawind-Attempt-Id: {name}"
        refused = (echo, "Sequoiawind-Not-Executed: 1")
        expected = found.get("sequoiawind-expect-version", str(self.version))
        if found.get("sequoiawind-expect-instance") != self.name or (
            expected != str(self.version)
        ):
            await self.reply(writer, 421, "", *refused)
            return True
        source = found.get("kv-from", "")
        has_memory = self.memories.pop(source, None) is not None
        is_full = self.pool == "llm" and self.random.random() < self.refusals
        if is_full or self.is_loading or (source and not has_memory):
            await self.reply(writer, 503, "", *refused)
            return True
        self.waiting += 1
        while self.running >= self.slots and not writer.transport.is_closing():
            await asyncio.sleep(0.01)
        self.waiting -= 1
        work = Work(engine=self.name, began_s=time.monotonic())
        self.works[name].append(work)
        self.running += 1
        is_kept = False
        try:
            if self.pool != "llm":
                await asyncio.sleep(0.045)
                await self.reply(writer, 200, "x" * 800, echo, SEAL)
                is_kept, work.end = True, "done"
            else:
                run = Run(work=work, event=int(found.get("last-event-id", "0")))
                self.runs[name] = run
                is_kept = await self.stream(reader, writer, found, run)
        finally:
            self.running -= 1
            work.ended_s = time.monotonic()
            work.end = work.end or "left"
            if self.pool == "llm" and self.runs.get(name) is run:
                del self.runs[name]
        return is_kept

    async def stream(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        found: dict[str, str],
        run: Run,
    ) -> bool:
        """Send the events of a run; return whether to keep the connection."""
        is_chunked = self.random.random() < 0.8
        framing = "Transfer-Encoding: chunked" if is_chunked else "X-F: close"
        name = found["sequoiawind-attempt-id"]
        head = ["HTTP/1.1 200 OK", f"Sequoiawind-Attempt-Id: {name}", SEAL]
        head += ["Content-Type: text/event-stream", framing, "", ""]
        writer.write("\r\n".join(head).encode())
        step_s = int(found["x-step-ms"]) / 1000
        pause_s = int(found.get("x-pause-ms", "0")) / 1000
        padding = "x" * int(found.get("x-event-bytes", "40"))
        while run.event < int(found["x-events"]):
            await asyncio.sleep(step_s)
            if pause_s and run.event == 3:
                await asyncio.sleep(pause_s)
            if reader.at_eof() or writer.transport.is_closing():
                return False
            if run.is_stopped:
                run.work.end = "moved"
                return False
            run.event += 1
            data = f"id: {run.event}\ndata: {padding}\n\n"
            text = f"{len(data):x}\r\n{data}\r\n" if is_chunked else data
            writer.write(text.encode())
            # An engine makes its events whether or not they are read.
        run.work.end, run.work.ended_s = "done", time.monotonic()
        self.runs.pop(name, None)
        if is_chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return is_chunked
