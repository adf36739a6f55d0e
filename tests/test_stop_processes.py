"""A router process that gets SIGTERM while requests are half sent.

Guards against streams that are begun late in the grace and end with the
process, against requests that are read behind an answer and dropped, and
against the loss of answers that callers read slowly.
"""

import asyncio
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack, suppress
from pathlib import Path

import attrs
from testtools import TestCase

from tests.platform_standin import (
    SEAL,
    Handler,
    Store,
    Target,
    configuration,
)
from tests.test_forward_processes import WAIT_TIMEOUT_S, free_ports

GRACE_S = 8.0
# Time from the last byte that is sent to SIGKILL, in seconds: what is left of
# the grace after the drain.  A busy machine may send that byte late.
KILL_S = 5.0
# Time for which the plain target works on a request, in seconds.
PLAIN_WORK_S = 4.0
# Pause between the events of the streams of `EVENTS` events, in seconds.
EVENT_PAUSE_S = 0.5
EVENTS = 24
# Size of an answer that is read slowly, the reader's buffer, and what it reads
# each `READ_PAUSE_S` seconds, in bytes.
LARGE_BYTES = 400_000
RECEIVE_BUFFER_BYTES = 8_192
READ_BYTES = 4_096
READ_PAUSE_S = 0.2
# Time in which a process must do what it does at the end, in seconds.
END_S = 1.0
SETTINGS = """
store = "{store}"
[node]
name = "r1"
ip = "127.0.0.1"
agent_port = {agent}
metrics_port = {metrics}
[bounds]
grace_s = {grace}
[entry]
callers = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
"""


@attrs.define(kw_only=True, eq=False)
class SlowTarget(Target):
    """A target that works for some seconds; its caller may leave meanwhile."""

    def run(self, call: Handler, body: bytes) -> None:
        """Run a request."""
        if "Sequoiawind-Model" not in call.headers:
            time.sleep(PLAIN_WORK_S)
        with suppress(ConnectionError):
            Target.run(self, call, body)


@attrs.define(kw_only=True, eq=False)
class LargeTarget(Target):
    """A target with a large answer."""

    def run(self, call: Handler, body: bytes) -> None:
        """Answer at once."""
        echo = call.headers.get("Sequoiawind-Attempt-Id", "")
        answer = b"x" * LARGE_BYTES
        call.reply(200, answer, Sequoiawind_Attempt_Id=echo, **{SEAL: "s1"})


@attrs.define(kw_only=True, eq=False)
class Request:
    """A request that is sent in two parts, and what becomes of it."""

    name: str
    route: str
    is_chunked: bool = False
    expects_continue: bool = False
    status: int = 0
    is_whole: bool = False

    @property
    def head(self) -> bytes:
        """The head."""
        length = "Transfer-Encoding: chunked"
        lines = [
            f"POST /{self.route}/x HTTP/1.1",
            "Host: h.example",
            "Authorization: Token k1",
            f"Sequoiawind-Attempt-Id: {self.name}",
            "Sequoiawind-Deadline-Ms: 13000",
            length if self.is_chunked else "Content-Length: 4",
        ]
        if self.expects_continue:
            lines.append("Expect: 100-continue")
        if self.route in ("brief", "draft"):
            lines += [
                "Sequoiawind-Model: m",
                "Sequoiawind-Token-Count: 100,10",
                "Sequoiawind-Prompt-Prefix: aa:80",
            ]
        return "\r\n".join([*lines, "", ""]).encode()

    @property
    def body(self) -> bytes:
        """The body as it is sent."""
        return b"4\r\nbody\r\n0\r\n\r\n" if self.is_chunked else b"body"

    async def read_answer(self, reader: asyncio.StreamReader) -> None:
        """Read the answer, as far as there is one."""
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            self.status = int(head[9:12])
            if b"chunked" in head:
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    await reader.readexactly(size + 2)
                await reader.readexactly(2)
            else:
                length = head.partition(b"content-length: ")[2].split()[0]
                await reader.readexactly(int(length))
            self.is_whole = True


@attrs.define(kw_only=True, eq=False)
class RouterProcess:
    """A router; a context manager that ends it."""

    store: str
    folder: str
    callers: int = 0
    ready: int = 0
    process: "subprocess.Popen[bytes]" = attrs.field(init=False)
    log: Path = attrs.field(init=False)

    def __enter__(self) -> "RouterProcess":
        """Start the router."""
        self.callers, self.ready, agent, metrics = free_ports(4)
        file = Path(self.folder) / "settings.toml"
        text = SETTINGS.format(
            store=self.store,
            agent=agent,
            metrics=metrics,
            grace=GRACE_S,
            callers=self.callers,
            ready=self.ready,
        )
        file.write_text(text, encoding="utf-8")
        self.log = file.with_suffix(".log")
        with self.log.open("wb") as stdout:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "sequoiawind.forward_router_main",
                    str(file),
                ],
                stdout=stdout,
            )
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Kill the process, if it runs."""
        self.process.kill()
        self.process.wait()

    async def is_ready(self) -> bool | None:
        """Return whether it is ready; None if it accepts no connection."""
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ready
            )
        except OSError:
            return None
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n")
        head = b""
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return head[9:12] == b"200"

    async def wait_until(self, is_ready: bool | None) -> None:
        """Wait until the router is ready, or accepts no connection."""
        ends_s = time.monotonic() + WAIT_TIMEOUT_S
        while await self.is_ready() is not is_ready:
            if time.monotonic() > ends_s:
                raise AssertionError(f"not seen: {is_ready}")
            await asyncio.sleep(0.05)

    async def kill_later(self) -> None:
        """Kill the process as the platform does."""
        await asyncio.sleep(KILL_S)
        self.process.kill()


class HalfSentTest(TestCase):
    """Requests whose second half arrives when the router has drained."""

    def test_half_sent_requests_are_answered_before_the_end(self) -> None:
        requests = [
            Request(name="q1", route="draft"),
            Request(name="q2", route="brief"),
            Request(name="q3", route="draft", is_chunked=True),
            Request(name="q4", route="brief", is_chunked=True),
            Request(name="q5", route="draft", expects_continue=True),
            Request(name="q6", route="book"),
        ]
        # The second one is sent behind the first one, which is in progress.
        pipelined = [
            Request(name="q7", route="read"),
            Request(name="q8", route="draft"),
        ]
        with ExitStack() as stack:
            store, folder = Store(), tempfile.TemporaryDirectory()
            stack.enter_context(store)
            store.put("keyed.op", "config", configuration(1))
            targets = [
                SlowTarget(id="p1"),
                SlowTarget(id="e1", events=EVENTS, pause_s=EVENT_PAUSE_S),
            ]
            for target, pool in zip(targets, ("app", "llm"), strict=True):
                stack.enter_context(target)
                store.put("keyed.servers", target.id, target.entry(pool))
            router = RouterProcess(
                store=store.address, folder=stack.enter_context(folder)
            )
            stack.enter_context(router)
            asyncio.run(self.play(router, requests, pipelined))
        found = [*requests, *pipelined]
        lost = {item.name: item.status for item in found if not item.is_whole}
        self.assertEqual({}, lost)
        statuses = {item.name: item.status for item in found}
        # A router that is held up for seconds may end it.
        self.assertIn(statuses.pop("q7"), (200, 502))
        self.assertEqual({503}, set(statuses.values()), statuses)
        ran = {
            call["sequoiawind-attempt-id"]
            for target in targets
            for call in target.ran
        }
        self.assertEqual({"q7"}, ran)

    async def play(
        self,
        router: RouterProcess,
        requests: list[Request],
        pipelined: list[Request],
    ) -> None:
        """Send the first halves, stop the router, and send the others."""
        await router.wait_until(is_ready=True)
        pairs = [
            await asyncio.open_connection("127.0.0.1", router.callers)
            for _ in range(len(requests) + 1)
        ]
        for request, (reader, writer) in zip(requests, pairs, strict=False):
            writer.write(request.head)
            if request.expects_continue:
                await reader.readuntil(b" 100 \r\n\r\n")
            else:
                writer.write(request.body[:2])
        reader, writer = pairs[-1]
        for request in pipelined:
            writer.write(request.head + request.body)
        await asyncio.sleep(0.5)
        router.process.terminate()
        await router.wait_until(is_ready=None)
        for request, (_, later) in zip(requests, pairs, strict=False):
            sent = 0 if request.expects_continue else 2
            later.write(request.body[sent:])

        killing = asyncio.create_task(router.kill_later())

        async def read_pipelined() -> None:
            for request in pipelined:
                await request.read_answer(reader)

        await asyncio.gather(
            read_pipelined(),
            *(
                request.read_answer(pair[0])
                for request, pair in zip(requests, pairs, strict=False)
            ),
        )
        killing.cancel()
        for _, writer in pairs:
            writer.close()


class SlowReaderTest(TestCase):
    """Answers that callers have not read when the process is killed."""

    def test_whole_answer_is_left_to_the_kernel_at_the_end(self) -> None:
        with ExitStack() as stack:
            store, folder = Store(), tempfile.TemporaryDirectory()
            stack.enter_context(store)
            store.put("keyed.op", "config", configuration(1))
            target = LargeTarget(id="p1")
            stack.enter_context(target)
            store.put("keyed.servers", target.id, target.entry("app"))
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
        request = Request(name="q1", route="read")
        slow.sendall(request.head + request.body)
        router.process.terminate()
        found = b""
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
        head, _, body = found.partition(b"\r\n\r\n")
        self.assertEqual(b"200", head[9:12])
        self.assertEqual(LARGE_BYTES, len(body))
