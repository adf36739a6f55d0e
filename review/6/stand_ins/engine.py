"""Engines: plain services, and model engines that an agent stands beside."""

import asyncio
import json
import time
from collections.abc import AsyncIterator, Callable
from typing import Any, Final

import attrs

from stand_ins.http import Answer, HttpServer, Reply, Request, Stream
from stand_ins.store import SERVERS_TOPIC, Store

MODEL: Final = "m1"
JSON: Final = {"Content-Type": "application/json"}
HEARTBEAT_S: Final = 1.2
# Longest wait of a call for events of the cache, in seconds.
MAX_WAIT_S: Final = 1.0


@attrs.frozen(kw_only=True)
class Run:
    """A request that an engine has run."""

    engine: str
    service: str
    request_id: str
    path: str
    tenant: str
    at_s: float


@attrs.frozen(kw_only=True)
class Order:
    """An order to load weights that an engine has got."""

    engine: str
    # Start of the engine, in milliseconds since the epoch.
    born_ms: int
    holder: str
    fence: int
    version: int
    status: int
    at_s: float


@attrs.define(kw_only=True, eq=False)
class Engine:
    """An engine; a context manager that registers it and serves."""

    id: str
    service: str
    host: str
    store: Store
    # Whether it is a model engine.
    has_model: bool = False
    work_s: float = 0.02
    slots: int = 6
    born_ms: int = 0
    on_run: Callable[[Run], None] = attrs.field(default=lambda run: None)
    on_order: Callable[[Order], None] = attrs.field(default=lambda order: None)
    # Time that a load of weights takes, in seconds.
    load_s: float = 0.32
    server: HttpServer = attrs.field(init=False)
    beats: asyncio.Task[None] | None = None
    sequence: int = 0
    orders: int = 0
    version: int = 1
    # Version of its software, and whether it is leaving.
    software: str = "v1"
    is_leaving: bool = False
    # Events of a stream, and the time between two, in seconds.
    events_count: int = 24
    event_s: float = 0.25
    is_busy: bool = False
    loads: set[asyncio.Task[None]] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Create the server."""
        self.server = HttpServer(host=self.host, handler=self.answer)

    async def __aenter__(self) -> "Engine":
        """Start."""
        await self.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop."""
        self.crash()

    async def start(self) -> None:
        """Serve and register; a later start keeps the id and the weights."""
        self.born_ms = int(time.time() * 1000)
        self.sequence = self.orders = 0
        self.is_busy = False
        await self.server.listen()
        self.register()
        self.beats = asyncio.create_task(self.beat())

    @property
    def is_serving(self) -> bool:
        """Whether it has started, and has not ended."""
        return self.beats is not None and not self.beats.done()

    def crash(self) -> None:
        """Stop without a word."""
        if self.beats is not None:
            self.beats.cancel()
        for load in self.loads:
            load.cancel()
        self.server.cut()

    def entry(self) -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": "z1",
            "version": self.software,
            "slots": self.slots,
            "state": "draining" if self.is_leaving else "ready",
            "cold_left_ms": 0,
            "seq": self.sequence,
            "born": self.born_ms,
            "models": self.models() if self.has_model else [],
        }

    def register(self) -> None:
        """Write its entry."""
        self.sequence += 1
        self.store.put(SERVERS_TOPIC, self.id, self.entry())

    async def beat(self) -> None:
        """Write the entry again and again."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    def models(self) -> list[dict[str, Any]]:
        """Return its models with the versions of their weights."""
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    async def answer(self, request: Request) -> Answer:
        """Answer a call; one that leaves says so in all its answers."""
        answer = await self.answer_call(request)
        if not self.is_leaving:
            return answer
        headers = {**answer.headers, "Server-Leaving": "1"}
        return attrs.evolve(answer, headers=headers)

    async def answer_call(self, request: Request) -> Answer:
        """Answer a call."""
        if request.path == "/api/report":
            return self.report()
        if request.path == "/api/kv-events":
            return await self.events(request)
        if request.path == "/api/order":
            return self.order(request)
        if request.path.startswith("/api/"):
            return Reply(status=404)
        return await self.run(request)

    def report(self) -> Reply:
        """Return the report of its state."""
        report = {
            "stage": "colocated",
            "models": self.models() if self.has_model else [],
            "busy": self.is_busy,
            "seq": self.orders,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 90_000,
            "handles": 0,
            "state": "draining" if self.is_leaving else "ready",
            "next_token": 0,
            "runs": [],
            "born": self.born_ms,
        }
        text = json.dumps(report).encode()
        return Reply(status=200, headers=JSON, body=text)

    async def events(self, request: Request) -> Reply:
        """Return the events of the cache: none, after the wait."""
        wait_s = int(request.headers.get("wait-ms", "0")) / 1000
        await asyncio.sleep(min(MAX_WAIT_S, wait_s))
        page = {"boot_epoch": 1, "next_token": 0, "lost": False, "events": []}
        text = json.dumps(page).encode()
        return Reply(status=200, headers=JSON, body=text)

    def order(self, request: Request) -> Reply:
        """Take an order to load weights; fences are not checked."""
        order = json.loads(request.body)
        expected = request.headers.get("sequoiawind-expect-instance", self.id)
        status = 202
        if expected != self.id:
            status = 421
        elif self.is_busy or order.get("precondition") != self.orders:
            status = 409
        elif order["version"] == self.version:
            status = 200
        self.on_order(
            Order(
                engine=self.id,
                born_ms=self.born_ms,
                holder=order["holder"],
                fence=order["fence"],
                version=order["version"],
                status=status,
                at_s=time.monotonic(),
            )
        )
        if status == 202:
            self.orders += 1
            self.is_busy = True
            load = asyncio.create_task(self.load(order["version"]))
            self.loads.add(load)
            load.add_done_callback(self.loads.discard)
        return Reply(status=status)

    async def load(self, version: int) -> None:
        """Load weights."""
        await asyncio.sleep(self.load_s)
        self.version = version
        self.is_busy = False

    async def run(self, request: Request) -> Answer:
        """Run a request, unless it expects another engine or weights."""
        headers = request.headers
        echo = {
            "Sequoiawind-Attempt-Id": headers.get("sequoiawind-attempt-id", "")
        }
        weights = str(self.version)
        if (
            headers.get("sequoiawind-expect-instance", self.id) != self.id
            or headers.get("sequoiawind-expect-version", weights) != weights
        ):
            refused = {**echo, "Sequoiawind-Not-Executed": "1"}
            return Reply(status=421, headers=refused)
        self.on_run(
            Run(
                engine=self.id,
                service=self.service,
                request_id=headers.get("sequoiawind-attempt-id", ""),
                path=request.path,
                tenant=headers.get("sequoiawind-tenant", ""),
                at_s=time.monotonic(),
            )
        )
        sealed = {**echo, "Sequoiawind-Server-Seal": f"{self.id}.1"}
        if "sequoiawind-model" in headers:
            sealed["Content-Type"] = "text/event-stream"
            sealed["Sequoiawind-Weight-Versions"] = weights
            after = int(headers.get("last-event-id", "0"))
            return Stream(headers=sealed, chunks=self.events_after(after))
        await asyncio.sleep(self.work_s)
        return Reply(status=200, headers=sealed, body=b"x" * 800)

    async def events_after(self, after: int) -> AsyncIterator[bytes]:
        """Make the events of a stream; each names the engine's software."""
        for number in range(after + 1, self.events_count + 1):
            await asyncio.sleep(self.event_s)
            yield f"id: {number}\ndata: {self.software}\n\n".encode()
