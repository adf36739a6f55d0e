"""A stream that its target has ended is not cut while its caller reads it.

The router stops, and holds the rest of the answer up as its caller reads it
slowly; no target works on it any more.
"""

import asyncio
import socket
import tempfile
import time
from contextlib import ExitStack, suppress

import attrs
from testtools import TestCase

from tests.platform_standin import SEAL, Handler, Store, Target, configuration
from tests.test_forward_processes import WAIT_TIMEOUT_S
from tests.test_stop_processes import (
    END_S,
    READ_BYTES,
    READ_PAUSE_S,
    RECEIVE_BUFFER_BYTES,
    Request,
    RouterProcess,
)

# More than the kernel holds of an answer that is not read, together with what
# the reader takes within the grace.
EVENTS, EVENT_BYTES = 40, 10_000


@attrs.define(kw_only=True, eq=False)
class FastTarget(Target):
    """A target that sends a long stream at once."""

    def run(self, call: Handler, body: bytes) -> None:
        """Send the stream, chunk by chunk."""
        call.send_response(200)
        echo = call.headers.get("Sequoiawind-Attempt-Id", "")
        call.send_header("Sequoiawind-Attempt-Id", echo)
        call.send_header(SEAL, "s1")
        call.send_header("Transfer-Encoding", "chunked")
        call.end_headers()
        with suppress(ConnectionError):
            for number in range(1, EVENTS + 1):
                data = b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)
                call.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
            call.wfile.write(b"0\r\n\r\n")


class ReadSlowlyInAStopTest(TestCase):
    """The whole answer is left to the kernel before the process is killed."""

    def test_stream_that_its_target_has_ended(self) -> None:
        with ExitStack() as stack:
            store, folder = Store(), tempfile.TemporaryDirectory()
            stack.enter_context(store)
            store.put("keyed.op", "config", configuration(1))
            target = FastTarget(id="e1")
            stack.enter_context(target)
            store.put("keyed.servers", target.id, target.entry("llm"))
            router = RouterProcess(
                store=store.address, folder=stack.enter_context(folder)
            )
            stack.enter_context(router)
            asyncio.run(self.play(router))

    async def play(self, router: RouterProcess) -> None:
        """Read slowly until the process is killed, and then the rest."""
        await router.wait_until(is_ready=True)
        slow = socket.socket()
        self.addCleanup(slow.close)
        slow.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        slow.connect(("127.0.0.1", router.callers))
        request = Request(name="q1", route="draft")
        slow.sendall(request.head + request.body)
        found = slow.recv(READ_BYTES)
        router.process.terminate()
        killed_s = float("inf")
        ends_s = time.monotonic() + WAIT_TIMEOUT_S
        while router.process.poll() is None and time.monotonic() < ends_s:
            found += slow.recv(READ_BYTES)
            await asyncio.sleep(READ_PAUSE_S)
            now_s = time.monotonic()
            if "requests ended" in router.log.read_text():
                killed_s = min(killed_s, now_s + END_S)
            if now_s >= killed_s:
                router.process.kill()
        with suppress(ConnectionError):
            while part := slow.recv(65_536):
                found += part
        self.assertEqual(b"200", found[9:12])
        self.assertTrue(found.endswith(b"\r\n0\r\n\r\n"), len(found))
