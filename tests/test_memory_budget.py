"""What many slow callers and large bodies hold together in one process."""

import os
import socket
import time
from pathlib import Path

from testtools import TestCase
from twisted.internet.task import Clock

from sequoiawind import defaults, sockets
from sequoiawind.caller_site import CallerSite
from sequoiawind.headers import CallerLimits
from sequoiawind.memory_budget import DEFAULT_BUDGET_BYTES, MemoryBudget
from tests import live
from tests.slow_peers import GET, Relay, start_flood, wait_until
from tests.stand_ins import FakeTransport

SLOW_CALLERS = 500
LARGE_BODIES = 50
# Time in which they are watched; callers are ended after 2 s.
WATCH_S = 2.5


def post(size: int) -> bytes:
    """Return the head of a request with a body of a size."""
    return b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size


def resident_bytes() -> int:
    """Return the memory of this process, as its system accounts for it."""
    pages = Path("/proc/self/statm").read_text(encoding="ascii").split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


class BudgetTest(TestCase):
    """One relay with a budget, its target and many callers."""

    def setUp(self) -> None:
        super().setUp()
        process, address = start_flood()
        self.addCleanup(process.communicate)
        self.budget = MemoryBudget()
        self.relay = Relay(address=address, options={"budget": self.budget})
        self.relay.start()
        self.addCleanup(self.relay.stop)

    def connect(self) -> socket.socket:
        """Connect a caller that is closed at the end of the test."""
        caller = self.relay.connect(receive_bytes=16_384)
        self.addCleanup(caller.close)
        return caller

    def found(self) -> int:
        """Return the bytes in the buffers of all connections, as found."""
        return sum(
            sockets.unsent_bytes(item.transport)
            + len(item.body)
            + len(item.http.trailing_data[0])
            for item in self.relay.site.connections
        )

    def test_slow_callers_and_large_bodies_stay_within_the_budget(
        self,
    ) -> None:
        """Guards against a process that is killed for its memory."""
        before = resident_bytes()
        callers = [self.connect() for _ in range(SLOW_CALLERS)]
        senders = [self.connect() for _ in range(LARGE_BODIES)]
        for caller in callers:
            caller.sendall(GET)
        for sender in senders:
            sender.sendall(post(defaults.MAX_BODY_BYTES))
            sender.setblocking(False)
        self.assertTrue(
            wait_until(lambda: len(self.relay.taken) == SLOW_CALLERS)
        )
        ends_s = time.monotonic() + WATCH_S
        largest = grown = 0
        while time.monotonic() < ends_s:
            for sender in senders:
                try:
                    sender.send(b"x" * 65_536)
                except OSError:
                    continue
            largest = max(largest, live.in_reactor(self.found))
            grown = max(grown, resident_bytes() - before)
            time.sleep(0.05)
        limit = DEFAULT_BUDGET_BYTES
        small = self.connect()
        small.sendall(post(4) + b"body")
        self.assertEqual(b"HTTP/1.1 200", small.recv(12))
        self.assertTrue(self.budget.peak_bytes <= limit, self.budget)
        self.assertTrue(SLOW_CALLERS * 1_024 < largest <= limit, largest)
        self.assertTrue(grown <= limit, grown)
        refused = 0
        for sender in senders:
            try:
                refused += sender.recv(1_000).startswith(b"HTTP/1.1 503")
            except BlockingIOError:
                continue
        held = DEFAULT_BUDGET_BYTES // defaults.MAX_BODY_BYTES
        self.assertTrue(refused >= LARGE_BODIES - held, refused)

    def test_all_is_free_again_once_the_callers_are_gone(self) -> None:
        """Guards against a budget that leaks until nothing is admitted."""
        callers = [self.connect() for _ in range(40)]
        for number, caller in enumerate(callers):
            caller.sendall(GET if number % 2 else post(400_000) + b"part")
        self.assertTrue(wait_until(lambda: self.budget.held_bytes > 8_000_000))
        for caller in callers:
            caller.close()
        self.assertTrue(wait_until(lambda: self.budget.held_bytes == 0))


class RefusalTest(TestCase):
    """Bodies that do not fit into the budget."""

    def setUp(self) -> None:
        super().setUp()
        self.budget = MemoryBudget(limit_bytes=1_000_000)
        self.bodies: list[bytes] = []
        self.site = CallerSite(
            clock=Clock(),
            on_request=lambda request, connection: self.bodies.append(
                request.body
            ),
            limits=CallerLimits,
            on_refusal=lambda reason: None,
            budget=self.budget,
        )

    def send(self, data: bytes) -> FakeTransport:
        """Send bytes over a new connection."""
        connection = self.site.buildProtocol(None)
        transport = FakeTransport()
        connection.makeConnection(transport)
        connection.dataReceived(data)
        return transport

    def test_body_that_does_not_fit_is_refused_before_it_is_read(self) -> None:
        """Guards against bodies that are read in vain, and wrong statuses."""
        head = post(400_000).replace(b"Host", b"Expect: 100-continue\r\nHost")
        self.assertIn(b" 100 ", self.send(head).value())
        answer = self.send(head).value()
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        self.assertIn(b"retry-after: 1.000", answer)
        self.send(post(4) + b"body")
        self.assertEqual([b"body"], self.bodies)

    def test_chunked_body_is_counted_as_it_arrives(self) -> None:
        """Guards against bodies of unstated length that go uncounted."""
        head = (
            b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        chunk = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
        transport = self.send(head + chunk * 12 + b"0\r\n\r\n")
        self.assertTrue(transport.value().startswith(b"HTTP/1.1 503"))
        self.assertEqual([], self.bodies)
        self.assertEqual(0, self.budget.held_bytes)

    def test_budget_leaves_room_for_the_program(self) -> None:
        """Guards against a budget larger than a small VM has."""
        for stated_mb, expected in (
            (None, 40_000_000),
            (0, 40_000_000),
            (600, 200_000_000),
            (120, 28_800_000),
            (80, 12_800_000),
            (60, 10_000_000),
        ):
            self.assertEqual(expected, MemoryBudget.of(stated_mb).limit_bytes)
