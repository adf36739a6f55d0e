"""Clients of the stand-in deployment."""

import asyncio
import socket
import time
from dataclasses import dataclass, field

from lib import http


@dataclass(kw_only=True)
class Outcome:
    """What a client has seen of one request."""

    attempt_id: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    # Whether the answer ended as its framing says.
    is_complete: bool = False


async def open_slow(
    ip: str, port: int, receive_bytes: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection whose reader holds little that is not read."""
    found = socket.socket()
    found.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    found.setblocking(False)
    await asyncio.get_running_loop().sock_connect(found, (ip, port))
    return await asyncio.open_connection(sock=found, limit=receive_bytes // 4)


async def read_slowly(
    reader: asyncio.StreamReader,
    outcome: Outcome,
    bytes_per_s: float,
    step_s: float = 0.1,
) -> None:
    """Read an answer with a length at a steady rate."""
    found = await http.read_head(reader)
    if found is not None:
        outcome.status, outcome.headers = found.status, found.headers
        length = int(found.headers.get("content-length", "0"))
        step = int(bytes_per_s * step_s)
        try:
            while len(outcome.body) < length:
                await asyncio.sleep(step_s)
                want = min(step, length - len(outcome.body))
                outcome.body += await reader.readexactly(want)
            outcome.is_complete = True
        except asyncio.IncompleteReadError as error:
            outcome.body += error.partial
        except ConnectionError:
            pass
    outcome.ended_s = time.monotonic()
