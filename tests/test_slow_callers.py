"""Callers that read slowly: what is held for them, and when they are ended."""

import time

from testtools import TestCase

from sequoiawind import sockets
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
        self.relay = Relay(address=f"{host}:{port}")
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
