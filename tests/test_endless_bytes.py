"""Bytes without end from a faulty engine neither end a router nor hold it up.

Reported by operators of a similar system (issue 52).  Each case sends up to
200 MB, as plain calls and as streams, several at a time.
"""

import asyncio

from testtools import TestCase

from tests.crowds import (
    MAX_FDS,
    MB,
    MEMORY_MB,
    ROUTER,
    STAY_S,
    Member,
    Place,
    ask,
    gather,
    head,
)
from tests.test_unruly_clients import ORDINARY

# Calls and streams that get such bytes at the same time.
CALLS = 8


class EndlessBytesTest(TestCase):
    """A router with little memory, and an engine that does not end."""

    def check(self, kind: str) -> None:
        """Let calls and streams get such bytes; check life and memory."""

        async def act(member: Member) -> None:
            route = ("read", "draft", "brief", "book")[member.number % 4]
            lines = ("Content-Length: 100000", f"X-Shape: {kind} {200 * MB}")
            data = head(route, f"q{member.number}", *lines)
            await member.send(data + b"x" * 100_000)
            await member.reader.read(1)
            await asyncio.sleep(STAY_S)

        with Place() as place:
            program = place.program(ROUTER, "forward_router_main")
            with program:
                port = place.ports["callers"]
                self.assertEqual(b"200", ask(port, ORDINARY))
                asyncio.run(gather(act, port, CALLS))
                self.assertEqual(None, program.process.poll())
                self.assertEqual(b"200", ask(port, ORDINARY))
                self.assertTrue(
                    program.peak_bytes <= MEMORY_MB * MB, program.peak_bytes
                )
                self.assertTrue(program.peak_fds <= MAX_FDS, program.peak_fds)

    def test_status_line(self) -> None:
        self.check("line")

    def test_no_answer(self) -> None:
        self.check("noise")

    def test_header_field(self) -> None:
        self.check("field")

    def test_header_block(self) -> None:
        self.check("fields")

    def test_chunk_framing(self) -> None:
        self.check("framing")

    def test_trailer(self) -> None:
        self.check("trailer")

    def test_interim_answers(self) -> None:
        self.check("interim")

    def test_body_without_length(self) -> None:
        self.check("close")

    def test_body_in_chunks(self) -> None:
        self.check("chunks")

    def test_body_of_another_request(self) -> None:
        self.check("foreign")

    def test_early_refusal(self) -> None:
        self.check("early")
