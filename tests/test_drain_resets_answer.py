"""An answer in the kernel is not destroyed by the close of idle connections."""

import array
import fcntl
import termios
import threading
import time

from testtools import TestCase

from tests import live
from tests.slow_peers import GET, Relay, wait_until

BODY_BYTES = 30_000
WAIT_TIMEOUT_S = 20.0


def unread_bytes(fd: int) -> int:
    """Return how many received bytes a socket's owner has not read."""
    found = array.array("i", [0])
    fcntl.ioctl(fd, termios.FIONREAD, found)
    return found[0]


class DrainTest(TestCase):
    """A drain while a caller has not read its answer and sends on."""

    def test_answer_that_is_not_read_yet_is_reset_by_the_drain(self) -> None:
        relay = Relay(address="")
        relay.start()
        self.addCleanup(relay.stop)

        def answer(request: object, connection: object) -> None:
            relay.taken.append(connection)  # type: ignore[arg-type]
            relay.taken[-1].reply(200, [], b"x" * BODY_BYTES)

        relay.site.on_request = answer
        caller = relay.connect(receive_bytes=4_096)
        self.addCleanup(caller.close)
        caller.sendall(GET)
        self.assertTrue(
            wait_until(lambda: bool(relay.taken) and relay.taken[0].is_idle)
        )
        fd = relay.taken[0].transport.fileno()

        def drain() -> None:
            # The next request arrives before the event loop reads it.
            ends_s = time.monotonic() + WAIT_TIMEOUT_S
            while not unread_bytes(fd) and time.monotonic() < ends_s:
                time.sleep(0.001)
            relay.site.close_idle()

        closing = threading.Thread(target=live.in_reactor, args=(drain,))
        closing.start()
        time.sleep(0.05)
        caller.sendall(GET)
        closing.join()
        received = b""
        try:
            while part := caller.recv(65_536):
                received += part
        except ConnectionResetError:
            pass
        body = received.partition(b"\r\n\r\n")[2]
        self.assertEqual(BODY_BYTES, len(body[:BODY_BYTES]))
