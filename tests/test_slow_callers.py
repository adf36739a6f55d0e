"""Callers that read slowly: what is held for them, and when they are ended."""

import socket
import time

from testtools import TestCase

from sequoiawind import sockets
from sequoiawind.caller_output import StalledCaller
from sequoiawind.descriptor_limit import DescriptorLimit
from tests import live
from tests.slow_peers import GET, FloodTarget, Relay, wait_until

# The stated bound on what is held for one caller.
MAX_HELD_BYTES = 256 * 1024


class SlowCallerTest(TestCase):
    """A relay with a target that answers faster than callers read."""

    def setUp(self) -> None:
        super().setUp()
        self.target = FloodTarget(max_bytes=50_000_000)
        self.target.start()
        self.addCleanup(setattr, self.target, "is_stopped", True)
        host, port = self.target.listener.getsockname()
        self.stalled: list[StalledCaller] = []
        self.relay = Relay(
            address=f"{host}:{port}",
            options={"on_stalled": self.stalled.append},
        )
        self.relay.start()
        self.addCleanup(self.relay.stop)

    def unsent(self) -> int:
        """Return the bytes that the relay holds for its callers."""
        return sum(
            sockets.unsent_bytes(item.transport) for item in self.relay.taken
        )

    def sent(self) -> int:
        """Return the bytes that the target has sent."""
        return sum(self.target.sent.values())

    def test_target_is_not_read_while_its_caller_does_not_read(self) -> None:
        """Guards against answers that pile up in the router."""
        caller = self.relay.connect(receive_bytes=16_384)
        self.addCleanup(caller.close)
        caller.sendall(GET)
        largest = 0
        ends_s = time.monotonic() + 1.0
        while time.monotonic() < ends_s:
            largest = max(largest, live.in_reactor(self.unsent))
        self.assertTrue(0 < largest <= MAX_HELD_BYTES, largest)
        self.assertTrue(self.relay.taken[0].output.is_choked)

    def test_target_is_read_again_once_its_caller_reads(self) -> None:
        """Guards against answers that stay paused, or lose bytes, or end."""
        self.target.max_bytes = 3_000_000
        caller = self.relay.connect(receive_bytes=16_384)
        self.addCleanup(caller.close)
        caller.sendall(GET)
        self.assertTrue(
            wait_until(
                lambda: (
                    bool(self.relay.taken)
                    and self.relay.taken[0].output.is_choked
                )
            )
        )
        received = 0
        while received < 2_900_000:
            data = caller.recv(65_536)
            self.assertNotEqual(b"", data)
            received += len(data)

    def test_next_pipelined_request_waits_until_the_answer_is_sent(
        self,
    ) -> None:
        """Guards against whole answers that pile up behind each other."""
        body = b"x" * 1_000_000
        seen: list[int] = []

        def answer(request: object, connection: object) -> None:
            seen.append(1)
            self.relay.taken[:] = [connection]  # type: ignore[list-item]
            self.relay.taken[0].reply(200, [], body)

        self.relay.site.on_request = answer
        caller = self.relay.connect(receive_bytes=16_384)
        self.addCleanup(caller.close)
        caller.sendall(GET * 3)
        time.sleep(0.3)
        self.assertEqual(1, len(seen))
        self.assertFalse(self.relay.taken[0].is_idle)
        received = b""
        while len(received) < 3 * len(body) + 3 * 60:
            data = caller.recv(1_000_000)
            self.assertNotEqual(b"", data)
            received += data
            if received.count(b"HTTP/1.1 200") == 3 and (
                received.endswith(body)
            ):
                break
        self.assertEqual(3, len(seen))

    def test_caller_that_takes_nothing_is_ended(self) -> None:
        """Guards against memory held for ever, and an end that looks whole."""
        self.relay.site.on_request = lambda request, connection: (
            connection.reply(200, [], b"x" * 2_000_000)
        )
        caller = self.relay.connect(receive_bytes=16_384)
        self.addCleanup(caller.close)
        began_s = time.monotonic()
        caller.sendall(GET)
        self.assertTrue(wait_until(lambda: bool(self.stalled)))
        self.assertTrue(2.0 <= time.monotonic() - began_s < 4.0)
        self.assertTrue(wait_until(lambda: not self.relay.site.connections))
        received = 0
        try:
            while data := caller.recv(65_536):
                received += len(data)
        except ConnectionResetError:
            received = min(received, 1_999_999)
        self.assertTrue(received < 2_000_000, received)

    def test_caller_that_reads_slowly_but_steadily_is_kept(self) -> None:
        """Guards against ending callers for a slow link."""
        caller = self.relay.connect(receive_bytes=16_384)
        self.addCleanup(caller.close)
        caller.sendall(GET)
        ends_s = time.monotonic() + 5.0
        while time.monotonic() < ends_s:
            self.assertNotEqual(b"", caller.recv(4_096))
            time.sleep(0.2)
            self.assertEqual([], self.stalled)
            self.assertEqual(1, len(self.relay.site.connections))
        self.assertTrue(live.in_reactor(self.unsent) > 0)


class DescriptorTest(TestCase):
    """A server near its limit of descriptors."""

    def setUp(self) -> None:
        super().setUp()
        # The next connections' numbers are above the bound.
        self.limit = DescriptorLimit(max_fds=1)
        self.relay = Relay(address="", options={"descriptors": self.limit})
        self.relay.start()
        self.addCleanup(self.relay.stop)
        self.relay.site.on_request = lambda request, connection: (
            self.relay.taken.append(connection)
        )

    def connect(self, max_fds: int) -> socket.socket:
        """Connect a caller under a limit of descriptors."""
        self.limit.max_fds = max_fds
        caller = self.relay.connect()
        self.addCleanup(caller.close)
        return caller

    def test_connections_in_use_are_kept_and_new_ones_are_closed(self) -> None:
        """Guards against answers cut off, and processes out of descriptors."""
        busy = self.connect(1_000_000)
        busy.sendall(GET)
        self.assertTrue(wait_until(lambda: len(self.relay.taken) == 1))
        try:
            self.assertEqual(b"", self.connect(1).recv(100))
        except ConnectionResetError:
            self.assertEqual(1, self.limit.closed_new)
        live.in_reactor(self.relay.taken[0].reply, 200, [], b"done")
        self.assertTrue(busy.recv(1_000).endswith(b"done"))

    def test_longest_idle_connection_makes_room(self) -> None:
        """Guards against idle callers that keep others out."""
        idle = []
        for _ in range(2):
            idle.append(self.connect(1_000_000))
            idle[-1].sendall(GET)
            self.assertTrue(
                wait_until(lambda: len(self.relay.taken) == len(idle))
            )
            live.in_reactor(self.relay.taken[-1].reply, 200, [], b"done")
            self.assertTrue(idle[-1].recv(1_000).endswith(b"done"))
        new = self.connect(1)
        new.sendall(GET)
        self.assertTrue(wait_until(lambda: len(self.relay.taken) == 3))
        self.assertEqual(b"", idle[0].recv(100))
        idle[1].sendall(GET)
        self.assertTrue(wait_until(lambda: len(self.relay.taken) == 4))
