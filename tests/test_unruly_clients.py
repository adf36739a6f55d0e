"""Crowds of clients that do not behave neither end a router nor hold it up.

The crowds and the bounds are those of issue 52; they do not depend on the speed
of the machine.  Each crowd comes twice: memory is given back after the first.
"""

import asyncio
from collections.abc import Callable

from testtools import TestCase

from tests.crowds import (
    MAX_FDS,
    MB,
    MEMORY_MB,
    ROUTER,
    STAY_S,
    Act,
    Member,
    Place,
    ask,
    gather,
    head,
)

ORDINARY = head("read", "ordinary", "Content-Length: 4") + b"body"
BODY_BYTES = 1 * MB
# Requests that are sent ahead, in bytes on each connection.
AHEAD_BYTES = 1 * MB


def reader(route: str, shape: str) -> Act:
    """Return a member that asks for an answer of a shape, and reads slowly."""

    async def act(member: Member) -> None:
        lines = ("Content-Length: 4", f"X-Shape: {shape}")
        await member.send(head(route, f"q{member.number}", *lines) + b"body")
        await member.read_slowly()

    return act


def stopped_reader(route: str, shape: str) -> Act:
    """Return a member that asks for an answer, and never reads."""

    async def act(member: Member) -> None:
        lines = ("Content-Length: 4", f"X-Shape: {shape}")
        await member.send(head(route, f"q{member.number}", *lines) + b"body")
        await asyncio.sleep(STAY_S)

    return act


def sender(pieces: Callable[[], list[bytes]], framing: str) -> Act:
    """Return a member that sends a body of legal size, but for its end."""

    async def act(member: Member) -> None:
        data = head("book", f"q{member.number}", framing)
        await member.send(data, *pieces())
        await asyncio.sleep(STAY_S)

    return act


def sent_ahead(request: Callable[[Member, int], bytes]) -> Act:
    """Return a member that sends requests ahead and reads no answer."""

    async def act(member: Member) -> None:
        sent = number = 0
        while sent < AHEAD_BYTES:
            data = b"".join(request(member, number + n) for n in range(20))
            await member.send(data)
            sent, number = sent + len(data), number + 20
        await asyncio.sleep(STAY_S)

    return act


def small_request(member: Member, number: int) -> bytes:
    """Return a request without a body."""
    return head("read", f"q{member.number}-{number}", "Content-Length: 0")


class UnrulyClientsTest(TestCase):
    """A router with little memory and few descriptors."""

    def check(self, act: Act, count: int) -> None:
        """Let a crowd come twice; check life, memory and descriptors."""
        with Place() as place:
            program = place.program(ROUTER, "forward_router_main")
            with program:
                port = place.ports["callers"]
                self.assertEqual(b"200", ask(port, ORDINARY))
                for _ in range(2):
                    asyncio.run(gather(act, port, count))
                    self.assertEqual(None, program.process.poll())
                    self.assertEqual(b"200", ask(port, ORDINARY))
                self.assertTrue(
                    program.peak_bytes <= MEMORY_MB * MB, program.peak_bytes
                )
                self.assertTrue(program.peak_fds <= MAX_FDS, program.peak_fds)

    def test_long_answers_read_slowly(self) -> None:
        self.check(reader("read", f"length {2 * MB}"), 60)

    def test_long_answers_in_chunks_read_slowly(self) -> None:
        self.check(reader("read", f"chunks {2 * MB}"), 60)

    def test_long_answers_without_length_read_slowly(self) -> None:
        self.check(reader("read", f"close {2 * MB}"), 60)

    def test_long_streams_read_slowly(self) -> None:
        self.check(reader("draft", f"events {2 * MB}"), 150)

    def test_long_answers_that_are_not_read(self) -> None:
        self.check(stopped_reader("read", f"length {2 * MB}"), 60)

    def test_long_streams_that_are_not_read(self) -> None:
        self.check(stopped_reader("draft", f"events {2 * MB}"), 150)

    def test_large_bodies_in_one_piece(self) -> None:
        self.check(
            sender(
                lambda: [b"x" * (BODY_BYTES - 1)],
                f"Content-Length: {BODY_BYTES}",
            ),
            100,
        )

    def test_large_bodies_in_chunks(self) -> None:
        chunk = b"2710\r\n" + b"x" * 10_000 + b"\r\n"
        self.check(
            sender(
                lambda: [chunk] * (BODY_BYTES // 10_000),
                "Transfer-Encoding: chunked",
            ),
            100,
        )

    def test_large_bodies_in_single_bytes(self) -> None:
        chunks = b"1\r\nx\r\n" * 1_000
        self.check(
            sender(lambda: [chunks] * 100, "Transfer-Encoding: chunked"), 100
        )

    def test_requests_sent_ahead(self) -> None:
        self.check(sent_ahead(small_request), 20)

    def test_requests_with_bodies_sent_ahead(self) -> None:
        def request(member: Member, number: int) -> bytes:
            name = f"q{member.number}-{number}"
            return head("read", name, "Content-Length: 60000") + b"x" * 60_000

        self.check(sent_ahead(request), 20)

    def test_requests_for_long_answers_sent_ahead(self) -> None:
        def request(member: Member, number: int) -> bytes:
            name = f"q{member.number}-{number}"
            shape = f"X-Shape: length {1 * MB}"
            return head("read", name, "Content-Length: 0", shape)

        self.check(sent_ahead(request), 20)

    def test_heads_that_stop_short(self) -> None:
        async def act(member: Member) -> None:
            data = head("read", "q", "X-Long: " + "x" * 15_000)
            await member.send(data[:-2])
            await asyncio.sleep(STAY_S)

        self.check(act, 280)

    def test_connections_that_send_nothing(self) -> None:
        async def act(member: Member) -> None:
            await asyncio.sleep(STAY_S)

        self.check(act, 500)
