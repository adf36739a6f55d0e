"""The operator raises the limit on headers while clients keep connections."""

import asyncio
import os
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib import http, route
from lib.engine import Engine
from lib.fleet import Fleet, free_port
from lib.store import Store

SITE = "nordlys-ops"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTER_IP, ENGINE_IP, STORE_IP = "127.0.1.1", "127.0.2.1", "127.0.3.1"
DEADLINE_MS = 5_000
CLIENTS = 12
LOW_BYTES, HIGH_BYTES = 8_192, 16_384
# Size of the heads that clients send once the higher limit is in force.
PADDING_BYTES = 12_000
# What reaches the router in one piece of such a head.
PIECE_BYTES = 6_000
# CONFIG: a change is in force so long after its acknowledgement.
CONFIG_S = 2.0
# DENIED: so many may be denied, and one in so many.
ALLOWED, ONE_IN = 5, 500

Pair = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def config(version: int, header_bytes: int) -> dict[str, Any]:
    """Return a configuration with a limit on headers."""
    found = route.config("non_idempotent", DEADLINE_MS)
    limits = {**route.LIMITS, "max_header_bytes": header_bytes}
    return {**found, "version": version, "limits": limits}


async def ask(pair: Pair, attempt_id: str, padding_bytes: int) -> int:
    """Send a request; return the status of its answer, 0 if there is none."""
    reader, writer = pair
    headers = route.headers(attempt_id, DEADLINE_MS)
    headers["X-Trace"] = "t" * padding_bytes
    data = http.request("POST", f"{route.PATH}1", headers, b"{}")
    for start in range(0, len(data), PIECE_BYTES):
        writer.write(data[start : start + PIECE_BYTES])
        await writer.drain()
        await asyncio.sleep(0.02)
    reply = await http.read_message(reader)
    return reply.status if reply is not None else 0


async def play(fleet: Fleet) -> int:
    """Play the case; return the exit status."""
    store, store_port = Store(), free_port()
    await store.listen(STORE_IP, store_port)
    first_bytes = LOW_BYTES if TROUBLE else HIGH_BYTES
    store.put("keyed.op", "config", config(7, first_bytes))
    engine = Engine(
        name="i-desk-1",
        service="slot-desk",
        host=ENGINE_IP,
        port=free_port(),
        store=store,
    )
    await engine.start()
    fleet.router("front-1", ROUTER_IP, f"{STORE_IP}:{store_port}").start()
    if not await fleet.wait_ready(ROUTER_IP):
        print("the router did not become ready")
        return 2
    await asyncio.sleep(5.0)
    pairs = [
        await asyncio.open_connection(ROUTER_IP, fleet.front_port)
        for _ in range(CLIENTS)
    ]
    lines = [f"trouble: {int(TROUBLE)}; first limit: {first_bytes} bytes"]
    before = [
        await ask(pair, f"before{number}", 100)
        for number, pair in enumerate(pairs)
    ]
    lines.append(f"small heads on new connections: {before}")
    if TROUBLE:
        store.put("keyed.op", "config", config(9, HIGH_BYTES))
        lines.append(f"acknowledged: version 9, limit {HIGH_BYTES} bytes")
    acknowledged_s = time.monotonic()
    await asyncio.sleep(CONFIG_S + 3.0)
    lines.append(f"{time.monotonic() - acknowledged_s:7.3f} s later:")
    kept = [
        await ask(pair, f"kept{number}", PADDING_BYTES)
        for number, pair in enumerate(pairs)
    ]
    lines.append(f"heads of {PADDING_BYTES} bytes, kept connections: {kept}")
    new_pair = await asyncio.open_connection(ROUTER_IP, fleet.front_port)
    new = await ask(new_pair, "new", PADDING_BYTES)
    lines.append(f"the same on a new connection: {new}")
    return judge(before, kept, new, lines)


def judge(
    before: list[int], kept: list[int], new: int, lines: list[str]
) -> int:
    """Write the record; return 1 if DENIED is broken, else 0."""
    statuses = [*before, *kept, new]
    denied = sum(status in (400, 413, 431) for status in statuses)
    allowed = ALLOWED + len(statuses) / ONE_IN
    lines.append(f"denied: {denied} of {len(statuses)}; allowed: {allowed:.2f}")
    text = "\n".join(lines)
    (Path(__file__).parent / "record.txt").write_text(text + "\n")
    print(text)
    if set(before) != {200}:
        return 2
    return 1 if denied > allowed else 0


def main() -> int:
    """Play the case with a fleet of its own."""
    with Fleet(SITE) as fleet:
        try:
            return asyncio.run(asyncio.wait_for(play(fleet), 100.0))
        except TimeoutError:
            print("the case took too long")
            return 2


if __name__ == "__main__":
    sys.exit(main())
