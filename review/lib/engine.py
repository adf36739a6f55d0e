"""A stand-in of an engine or of a plain service, as PROTOCOL.md has them."""

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from lib import http
from lib.store import Store

Handler = Callable[
    ["Engine", http.Message, asyncio.StreamWriter], Awaitable[bool]
]


@dataclass(kw_only=True)
class Run:
    """A request that reached an engine, or an order to it."""

    at_s: float
    engine: str
    attempt_id: str
    # What became of it.
    what: str
    headers: dict[str, str] = field(default_factory=dict)


class Engine:
    """One engine; registers itself in the store and answers requests."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        host: str,
        port: int,
        store: Store,
        zone: str = "zone-a",
        model: str = "",
        version: int = 1,
        slots: int = 8,
    ) -> None:
        """Create an engine that is not started yet."""
        self.name = name
        self.service = service
        self.host, self.port = host, port
        self.store = store
        self.zone = zone
        self.model, self.version = model, version
        self.slots = slots
        self.state = "ready"
        self.born_ms = time.time_ns() // 1_000_000
        # Orders accepted.
        self.orders = 0
        self.runs: list[Run] = []
        # Calls to `/api/order`: time, holder, fence, version, status.
        self.order_log: list[dict[str, Any]] = []
        # Answers a request; returns whether the connection is kept.
        self.handler: Handler = answer_at_once
        # Called with an order; returns its status, or None for no answer.
        self.on_order: Callable[[dict[str, Any]], Awaitable[int | None]]
        self.on_order = self.take_order
        self.busy_until_s = 0.0
        self.load_s = 0.4
        self.server: asyncio.AbstractServer | None = None
        self.beats: asyncio.Task[None] | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Address at which the engine serves."""
        return f"{self.host}:{self.port}"

    def entry(self) -> dict[str, Any]:
        """Return the engine's entry in the store."""
        found: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.orders,
            "born": self.born_ms,
        }
        if self.model:
            found["stage"] = "colocated"
            found["models"] = [
                {"name": self.model, "version": self.version, "adapters": []}
            ]
        return found

    async def start(self) -> None:
        """Serve, and register in the store."""
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port
        )
        self.beats = asyncio.create_task(self.beat())

    async def beat(self) -> None:
        """Write the entry again and again."""
        while True:
            self.store.put("keyed.servers", self.name, self.entry())
            await asyncio.sleep(1.2)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests on one connection."""
        try:
            while request := await http.read_message(reader):
                if not request.is_complete:
                    break
                if not await self.answer(request, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()

    async def answer(
        self, request: http.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection is kept."""
        expected = request.headers.get("sequoiawind-expect-instance")
        path = request.target.partition("?")[0]
        reply: bytes | None = None
        if expected is not None and expected != self.name:
            reply = http.answer(421, headers={"Sequoiawind-Not-Executed": "1"})
        elif path == "/api/report":
            reply = http.answer(200, json.dumps(self.report()).encode())
        elif path == "/api/order":
            status = await self.on_order(json.loads(request.body))
            if status is None:
                return False
            reply = http.answer(status, b"{}")
        elif path == "/api/kv-events":
            wait_ms = int(request.headers.get("wait-ms", "0"))
            await asyncio.sleep(min(1.0, wait_ms / 1000))
            page = {
                "boot_epoch": self.born_ms % 100_000,
                "next_token": 1,
                "lost": False,
                "events": [],
            }
            reply = http.answer(200, json.dumps(page).encode())
        elif path.startswith("/api/"):
            reply = http.answer(404)
        if reply is None:
            return await self.handler(self, request, writer)
        writer.write(reply)
        await writer.drain()
        return True

    def report(self) -> dict[str, Any]:
        """Return the report of the engine's state."""
        models = []
        if self.model:
            models = [
                {"name": self.model, "version": self.version, "adapters": []}
            ]
        return {
            "stage": "colocated",
            "models": models,
            "busy": time.monotonic() < self.busy_until_s,
            "seq": self.orders,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 90_000,
            "handles": 0,
            "runs": [],
            "state": self.state,
            "born": self.born_ms,
        }

    async def take_order(self, order: dict[str, Any]) -> int | None:
        """Check and carry out an order; return the status of its answer."""
        status = self.carry_out(order)
        self.order_log.append(
            {"at_s": time.monotonic(), "status": status, **order}
        )
        return status

    def carry_out(self, order: dict[str, Any]) -> int:
        """Carry out an order; return the status of its answer."""
        if time.monotonic() < self.busy_until_s:
            return 409
        if order.get("precondition", self.orders) != self.orders:
            return 409
        if order["version"] <= self.version:
            return 200
        self.orders += 1
        self.busy_until_s = time.monotonic() + self.load_s
        self.version = order["version"]
        return 202

    def note(self, request: http.Message, what: str) -> None:
        """Record what became of a request."""
        self.runs.append(
            Run(
                at_s=time.monotonic(),
                engine=self.name,
                attempt_id=request.headers.get("sequoiawind-attempt-id", ""),
                what=what,
                headers=request.headers,
            )
        )

    def seal(self, request: http.Message) -> dict[str, str]:
        """Return the headers of each answer to a request."""
        attempt_id = request.headers.get("sequoiawind-attempt-id", "")
        return {
            "Sequoiawind-Attempt-Id": attempt_id,
            "Sequoiawind-Server-Seal": f"{self.name}.{attempt_id}",
        }


async def answer_at_once(
    engine: Engine, request: http.Message, writer: asyncio.StreamWriter
) -> bool:
    """Run a request and answer it."""
    engine.note(request, "run")
    writer.write(http.answer(200, b"ok" * 400, engine.seal(request)))
    await writer.drain()
    return True
