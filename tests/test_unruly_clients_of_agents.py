"""Crowds of clients that do not behave at the ports of an agent.

An agent states no limits in its settings, so its bound is what a machine beside
an engine leaves to it, with room to spare.
"""

import asyncio

from testtools import TestCase

from tests.crowds import (
    AGENT,
    MB,
    STAY_S,
    Act,
    Member,
    Place,
    ask,
    gather,
)
from tests.test_unruly_clients import AHEAD_BYTES

BOUND_BYTES = 120 * MB
MAX_FDS = 1_000
METRICS = b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
BODY_BYTES = 1 * MB
POST = b"POST /metrics HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"


def ahead(request: bytes) -> Act:
    """Return a member that sends a request ahead and reads no answer."""

    async def act(member: Member) -> None:
        for _ in range(AHEAD_BYTES // (20 * len(request))):
            await member.send(request * 20)
        await asyncio.sleep(STAY_S)

    return act


class UnrulyClientsOfAgentsTest(TestCase):
    """An agent beside an engine."""

    def check(self, act: Act, count: int, port: str = "metrics") -> None:
        """Let a crowd come twice; check life, memory and descriptors."""
        with Place() as place:
            program = place.program(AGENT, "forward_agent_main")
            with program:
                metrics = place.ports["metrics"]
                self.assertEqual(b"200", ask(metrics, METRICS))
                for _ in range(2):
                    asyncio.run(gather(act, place.ports[port], count))
                    self.assertEqual(None, program.process.poll())
                    self.assertEqual(b"200", ask(metrics, METRICS))
                self.assertTrue(
                    program.peak_bytes <= BOUND_BYTES, program.peak_bytes
                )
                self.assertTrue(program.peak_fds <= MAX_FDS, program.peak_fds)

    def test_metrics_asked_for_ahead(self) -> None:
        self.check(ahead(METRICS), 20)

    def test_statuses_asked_for_ahead(self) -> None:
        status = b"GET /agent/status?after=-1 HTTP/1.1\r\nHost: h\r\n\r\n"
        self.check(ahead(status), 20, "agent")

    def test_feeds_asked_for_ahead(self) -> None:
        feed = b"GET /agent/feed?level=2 HTTP/1.1\r\nHost: h\r\n\r\n"
        self.check(ahead(feed), 20, "agent")

    def test_large_bodies(self) -> None:
        async def act(member: Member) -> None:
            data = POST % BODY_BYTES + b"x" * (BODY_BYTES - 1)
            await member.send(data)
            await asyncio.sleep(STAY_S)

        self.check(act, 200, "agent")

    def test_heads_that_stop_short(self) -> None:
        async def act(member: Member) -> None:
            await member.send(METRICS[:-2] + b"X-Long: " + b"x" * 15_000)
            await asyncio.sleep(STAY_S)

        self.check(act, 800, "agent")
