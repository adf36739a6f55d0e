"""Clients that send requests with a key again and again."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Final

import attrs

from stand_ins.config import HOST
from stand_ins.http import Reply, Request, send

MARGIN_S: Final = 0.5


@attrs.define(kw_only=True, eq=False)
class Call:
    """One request, and its answer; None without a whole one."""

    id: str
    key: str
    sent_s: float
    reply: Reply | None = None

    @property
    def status(self) -> int:
        """The status of the answer; 0 without a whole one."""
        return 0 if self.reply is None else self.reply.status


@attrs.define(kw_only=True, eq=False)
class Clients:
    """Clients of one router; each sends one request after the other."""

    front: str
    deadline_ms: int = 1_000
    pause_s: float = 0.05
    calls: dict[str, Call] = attrs.field(factory=dict)
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)
    on_answer: Callable[[Call], None] = attrs.field(default=lambda call: None)

    async def call(self, key: str, method: str, target: str) -> None:
        """Send a request on a connection of its own."""
        call = Call(
            id=f"{random.getrandbits(64):016x}",
            key=key,
            sent_s=time.monotonic(),
        )
        self.calls[call.id] = call
        headers = {
            "Host": HOST,
            "Sequoiawind-Attempt-Id": call.id,
            "Sequoiawind-Deadline-Ms": str(self.deadline_ms),
            "Authorization": f"Token {key}",
        }
        body = b"" if method == "GET" else b"b" * 60
        request = Request(
            method=method, target=target, headers=headers, body=body
        )
        limit_s = self.deadline_ms / 1000 + MARGIN_S
        try:
            call.reply = await send(self.front, request, limit_s)
        except (OSError, EOFError, TimeoutError):
            return
        self.on_answer(call)

    async def repeat(self, key: str, method: str, target: str) -> None:
        """Send requests until the clients are stopped."""
        while True:
            await self.call(key, method, target)
            await asyncio.sleep(self.pause_s)

    def start(self, key: str, method: str, target: str) -> None:
        """Start a client."""
        task = asyncio.create_task(self.repeat(key, method, target))
        self.tasks.append(task)

    async def stop(self) -> None:
        """Stop all clients."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
