"""Crowds of clients that do not behave, against a process of the system.

A crowd opens its connections at once, does one thing on each, and stays for a
while.  Meanwhile the memory and the descriptors of the process are watched.
"""

import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import attrs

from tests.platform_standin import MODEL, SEAL, Store, configuration
from tests.test_forward_processes import WAIT_TIMEOUT_S, free_ports

HOST = "127.0.0.1"
MB = 1_000_000
# Memory and descriptors that the settings of the process state.
MEMORY_MB = 80
MAX_FDS = 300
# For how long a crowd stays once it has done its thing, in seconds.
STAY_S = 4.0
# Pace of slow readers: bytes of one read, and the pause between two, in
# seconds.
READ_BYTES, READ_PAUSE_S = 300, 0.2
ROUTER = """
store = "{store}"
[node]
name = "r1"
ip = "127.0.0.1"
agent_port = {agent}
metrics_port = {metrics}
[entry]
callers = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
[limits]
memory_mb = {memory}
max_fds = {fds}
"""
AGENT = """
store = "{store}"
target = "{target}"
[node]
name = "a1"
ip = "127.0.0.1"
agent_port = {agent}
metrics_port = {metrics}
"""


def head(route: str, name: str, *lines: str) -> bytes:
    """Return the head of a request."""
    text = [
        f"POST /{route}/x HTTP/1.1",
        "Host: h.example",
        "Authorization: Token k1",
        f"Sequoiawind-Attempt-Id: {name}",
        "Sequoiawind-Deadline-Ms: 20000",
        *lines,
    ]
    if route in ("brief", "draft"):
        text += [
            "Sequoiawind-Model: m",
            "Sequoiawind-Token-Count: 100,10",
            "Sequoiawind-Prompt-Prefix: aa:80",
        ]
    return "\r\n".join([*text, "", ""]).encode()


@attrs.define(kw_only=True, eq=False)
class Engine:
    """Answers in the shape that a request asks for with `X-Shape: KIND N`.

    It serves in an event loop of its own, so that it never waits for a crowd.
    """

    id: str = "e1"
    loop: asyncio.AbstractEventLoop = attrs.field(
        factory=asyncio.new_event_loop
    )
    address: str = ""
    # Bytes that a flood sends at most, so that a test ends.
    most_bytes: int = 200 * MB
    # Shape of the answers to calls of the system; empty for sound ones.
    api_shape: str = ""

    def __enter__(self) -> "Engine":
        """Serve at a free port."""
        started = threading.Event()

        async def start() -> None:
            server = await asyncio.start_server(self.serve, HOST, 0)
            port = server.sockets[0].getsockname()[1]
            self.address = f"{HOST}:{port}"
            started.set()

        def run() -> None:
            self.loop.create_task(start())
            self.loop.run_forever()

        threading.Thread(target=run, daemon=True).start()
        started.wait()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop serving."""
        self.loop.call_soon_threadsafe(self.loop.stop)

    def entry(self, pool: str) -> dict[str, object]:
        """Return its entry in the store."""
        return {
            "service": pool,
            "address": self.address,
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": 5,
            "models": [{"name": MODEL, "version": 1}] if pool == "llm" else [],
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                raw = await reader.readuntil(b"\r\n\r\n")
                lines = raw.decode("latin-1").lower().split("\r\n")
                found = dict(line.split(": ", 1) for line in lines[1:-2])
                path = lines[0].split(" ")[1]
                shape = found.get("x-shape", "length 10")
                if path.startswith("/api/"):
                    if not self.api_shape:
                        await self.serve_api(writer, path)
                        continue
                    shape = self.api_shape
                if not shape.startswith("early"):
                    length = int(found.get("content-length", "0"))
                    await reader.readexactly(length)
                kind, size = shape.split(" ")
                echo = found.get("sequoiawind-attempt-id", "")
                write: Any = getattr(self, f"write_{kind}")
                await write(writer, echo, int(size))
                if not kind.startswith(("length", "chunks", "events")):
                    break
        writer.close()

    async def serve_api(self, writer: asyncio.StreamWriter, path: str) -> None:
        """Answer a call of the system."""
        report = {
            "models": [{"name": MODEL, "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "born": 5,
        }
        status = 200 if path == "/api/report" else 429
        body = json.dumps(report) if status == 200 else ""
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
            f"\r\n{body}".encode()
        )
        await writer.drain()

    def head(self, echo: str, framing: str) -> bytes:
        """Return the head of an answer."""
        lines = ["HTTP/1.1 200 OK", f"Sequoiawind-Attempt-Id: {echo}"]
        lines += [f"{SEAL}: s1", *([framing] if framing else []), "", ""]
        return "\r\n".join(lines).encode()

    async def send(
        self, writer: asyncio.StreamWriter, piece: bytes, size: int
    ) -> None:
        """Send a piece again and again, up to a size."""
        for _ in range(0, min(size, self.most_bytes), len(piece)):
            writer.write(piece)
            await writer.drain()

    async def write_length(
        self, writer: asyncio.StreamWriter, echo: str, size: int
    ) -> None:
        """Send an answer of a size, with its length."""
        writer.write(self.head(echo, f"Content-Length: {size}"))
        writer.write(b"x" * size)
        await writer.drain()

    async def write_chunks(
        self, writer: asyncio.StreamWriter, echo: str, size: int
    ) -> None:
        """Send an answer of a size in chunks."""
        writer.write(self.head(echo, "Transfer-Encoding: chunked"))
        await self.send(writer, b"3e8\r\n" + b"x" * 1_000 + b"\r\n", size)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def write_events(
        self, writer: asyncio.StreamWriter, echo: str, size: int
    ) -> None:
        """Send a stream of events of a size."""
        writer.write(self.head(echo, "Transfer-Encoding: chunked"))
        for number in range(1, 1 + size // 1_000):
            data = b"id: %d\ndata: %s\n\n" % (number, b"x" * 980)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def write_close(
        self, writer: asyncio.StreamWriter, echo: str, size: int
    ) -> None:
        """Send an answer that ends with its connection."""
        writer.write(self.head(echo, ""))
        await self.send(writer, b"x" * 10_000, size)

    # Bytes without end.

    async def write_line(
        self, writer: asyncio.StreamWriter, echo: str, size: int
    ) -> None:
        """Send a status line without end."""
        writer.write(b"HTTP/1.1 200 ")
        await self.send(writer, b"x" * 10_000, size)

    async def write_noise(
        self, writer: asyncio.StreamWriter, echo: str, size: int
    ) -> None:
        """Send bytes that are no answer."""
        await self.send(writer, b"\x01" * 10_000, size)

    async def write_field(
        self, writer: asyncio.StreamWriter, echo: str, size: int
    ) -> None:
        """Send a header field without end."""
        writer.write(b"HTTP/1.1 200 OK\r\nX-Long: ")
        await self.send(writer, b"x" * 10_000, size)

    async def write_fields(
        self, writer: asyncio.StreamWriter, echo: str, size: int
    ) -> None:
        """Send header fields without end."""
        writer.write(b"HTTP/1.1 200 OK\r\n")
        await self.send(writer, b"X-Some: some value\r\n" * 500, size)

    async def write_framing(
        self, writer: asyncio.StreamWriter, echo: str, size: int
    ) -> None:
        """Send the size line of a chunk without end."""
        writer.write(self.head(echo, "Transfer-Encoding: chunked"))
        writer.write(b"a;")
        await self.send(writer, b"x" * 10_000, size)

    async def write_trailer(
        self, writer: asyncio.StreamWriter, echo: str, size: int
    ) -> None:
        """Send a trailer without end."""
        writer.write(self.head(echo, "Transfer-Encoding: chunked"))
        writer.write(b"1\r\nx\r\n0\r\n")
        await self.send(writer, b"X-Some: some value\r\n" * 500, size)

    async def write_interim(
        self, writer: asyncio.StreamWriter, echo: str, size: int
    ) -> None:
        """Send interim answers without end."""
        await self.send(writer, b"HTTP/1.1 102 Processing\r\n\r\n" * 400, size)

    async def write_foreign(
        self, writer: asyncio.StreamWriter, echo: str, size: int
    ) -> None:
        """Send a body without end that belongs to another request."""
        writer.write(self.head("another", "Transfer-Encoding: chunked"))
        await self.send(writer, b"3e8\r\n" + b"x" * 1_000 + b"\r\n", size)

    async def write_early(
        self, writer: asyncio.StreamWriter, echo: str, size: int
    ) -> None:
        """Refuse a request before its body is read, with a body without end."""
        writer.write(
            b"HTTP/1.1 503 Full\r\nSequoiawind-Not-Executed: 1\r\n"
            b"Sequoiawind-Attempt-Id: %s\r\n\r\n" % echo.encode()
        )
        await self.send(writer, b"x" * 10_000, size)


@attrs.define(kw_only=True, eq=False)
class Program:
    """A process of the system that is watched; a context manager."""

    module: str
    settings: str
    process: "subprocess.Popen[bytes]" = attrs.field(init=False)
    folder: Any = attrs.field(factory=tempfile.TemporaryDirectory)
    # The most that was seen, in bytes and as a count.
    peak_bytes: int = 0
    peak_fds: int = 0
    is_over: bool = False

    def __enter__(self) -> "Program":
        """Start the process, and watch it."""
        file = Path(self.folder.name) / "settings.toml"
        file.write_text(self.settings)
        with file.with_suffix(".log").open("wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", f"sequoiawind.{self.module}", str(file)],
                stdout=output,
                stderr=output,
            )
        threading.Thread(target=self.watch, daemon=True).start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End the process."""
        self.is_over = True
        self.process.kill()
        self.process.wait()
        self.folder.cleanup()

    def watch(self) -> None:
        """Note the most memory and descriptors, until the end."""
        while not self.is_over and self.process.poll() is None:
            with suppress(OSError):
                self.note()
            time.sleep(0.02)

    def note(self) -> None:
        """Note the memory and descriptors as they are."""
        folder = Path(f"/proc/{self.process.pid}")
        pages = int((folder / "statm").read_text().split()[1])
        held = pages * os.sysconf("SC_PAGE_SIZE")
        self.peak_bytes = max(self.peak_bytes, held)
        self.peak_fds = max(self.peak_fds, len(os.listdir(folder / "fd")))


@attrs.define(kw_only=True, eq=False)
class Member:
    """One connection of a crowd."""

    port: int
    number: int
    reader: asyncio.StreamReader = attrs.field(init=False)
    writer: asyncio.StreamWriter = attrs.field(init=False)

    async def connect(self) -> None:
        """Open the connection, with a small buffer for what is received."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (HOST, self.port))
        # Nothing is read before it is asked for.
        self.reader, self.writer = await asyncio.open_connection(
            sock=sock, limit=1_024
        )

    async def send(self, *parts: bytes) -> None:
        """Send parts, each after the one before has left."""
        for part in parts:
            self.writer.write(part)
            await self.writer.drain()

    async def read_slowly(self) -> None:
        """Read a little at intervals."""
        while await self.reader.read(READ_BYTES):
            await asyncio.sleep(READ_PAUSE_S)


# What one member of a crowd does.
Act = Callable[[Member], Awaitable[None]]


async def gather(act: Act, port: int, count: int) -> None:
    """Let a crowd do one thing each, stay for a while, and leave."""

    async def one(number: int) -> None:
        member = Member(port=port, number=number)
        with suppress(OSError, asyncio.IncompleteReadError):
            await member.connect()
            try:
                with suppress(TimeoutError):
                    async with asyncio.timeout(STAY_S):
                        await act(member)
                        await asyncio.sleep(STAY_S)
            finally:
                member.writer.transport.abort()

    await asyncio.gather(*(one(number) for number in range(count)))


def ask(port: int, data: bytes, within_s: float = WAIT_TIMEOUT_S) -> bytes:
    """Send an ordinary request until it is answered; return the status."""
    ends_s = time.monotonic() + within_s
    status = b""
    while status != b"200" and time.monotonic() < ends_s:
        with (
            suppress(OSError),
            socket.create_connection((HOST, port), timeout=5.0) as sock,
        ):
            sock.sendall(data)
            status = sock.recv(65_536)[9:12]
        time.sleep(0.1)
    return status


@attrs.define(kw_only=True, eq=False)
class Place:
    """A store and two engines, beside which one process runs."""

    engines: dict[str, Engine] = attrs.field(
        factory=lambda: {"app": Engine(), "llm": Engine()}
    )
    store: Store = attrs.field(factory=Store)
    ports: dict[str, int] = attrs.field(factory=dict)

    def __enter__(self) -> "Place":
        """Start the store and the engines, and write their entries."""
        names = ("agent", "metrics", "callers", "ready")
        self.ports = dict(zip(names, free_ports(4), strict=True))
        self.store.__enter__()
        self.store.put("keyed.op", "config", configuration(1))
        for pool, engine in self.engines.items():
            engine.__enter__()
            self.store.put("keyed.servers", f"e-{pool}", engine.entry(pool))
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop the store and the engines."""
        for engine in self.engines.values():
            engine.__exit__()
        self.store.__exit__()

    def program(self, template: str, module: str, store: str = "") -> Program:
        """Return a process with settings from a template, and maybe a store."""
        settings = template.format(
            store=store or self.store.address,
            target=self.engines["llm"].address,
            memory=MEMORY_MB,
            fds=MAX_FDS,
            **self.ports,
        )
        return Program(module=module, settings=settings)
