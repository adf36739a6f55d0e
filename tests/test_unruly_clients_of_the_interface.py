"""Crowds of clients that do not behave, at the OpenAI interface's processes.

Its router and agent state no limits in their settings, so the bound is that of
an agent beside an engine.
"""

import asyncio
import threading

import attrs
from testtools import TestCase

from sequoiawind import defaults
from tests.crowds import MB, STAY_S, Act, Member, Program, ask, gather
from tests.test_processes import ProcessTest
from tests.test_unruly_clients_of_agents import ahead

BOUND_BYTES = 120 * MB
MAX_FDS = 1_000
READY = b"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n"
BODY_BYTES = 1 * MB


class Rig(ProcessTest):
    """The processes of the interface; has no tests of its own."""

    __test__ = False

    def runTest(self) -> None:
        """Do nothing."""


@attrs.define(kw_only=True, eq=False)
class Watched(Program):
    """A process that another one has started."""

    module: str = ""
    settings: str = ""


def large_body(framing: str, pieces: list[bytes]) -> Act:
    """Return a member that sends a body that stops short of its end."""

    async def act(member: Member) -> None:
        path = b"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
        await member.send(path + framing.encode() + b"\r\n\r\n", *pieces)
        await asyncio.sleep(STAY_S)

    return act


class UnrulyClientsOfTheInterfaceTest(TestCase):
    """A router and an agent of the OpenAI interface."""

    def check(self, name: str, act: Act, count: int) -> None:
        """Let a crowd come twice; check life, memory and descriptors."""
        rig = Rig("runTest")
        self.addCleanup(rig.doCleanups)
        rig.setUp()
        watched = Watched()
        watched.process = rig.processes[name]
        self.addCleanup(setattr, watched, "is_over", True)
        threading.Thread(target=watched.watch, daemon=True).start()
        port = rig.ports[name]
        self.assertEqual(b"200", ask(port, READY))
        for _ in range(2):
            asyncio.run(gather(act, port, count))
            self.assertEqual(None, watched.process.poll())
            self.assertEqual(b"200", ask(port, READY))
        self.assertTrue(watched.peak_bytes <= BOUND_BYTES, watched.peak_bytes)
        self.assertTrue(watched.peak_fds <= MAX_FDS, watched.peak_fds)

    def test_requests_sent_ahead_to_a_router(self) -> None:
        self.check("r0", ahead(READY), 20)

    def test_requests_sent_ahead_to_an_agent(self) -> None:
        self.check("ae", ahead(READY), 20)

    def test_large_bodies_to_a_router(self) -> None:
        size = min(BODY_BYTES, defaults.MAX_BODY_BYTES)
        framing = f"Content-Length: {size}"
        self.check("r0", large_body(framing, [b"x" * (size - 1)]), 200)

    def test_large_bodies_to_an_agent(self) -> None:
        size = min(BODY_BYTES, defaults.MAX_BODY_BYTES)
        framing = f"Content-Length: {size}"
        self.check("ae", large_body(framing, [b"x" * (size - 1)]), 200)

    def test_bodies_in_single_bytes_to_a_router(self) -> None:
        pieces = [b"1\r\nx\r\n" * 1_000] * 50
        framing = "Transfer-Encoding: chunked"
        self.check("r0", large_body(framing, pieces), 100)
