"""A process that is stopped ends by itself before it is killed.

Guards against stops that outlive the time between SIGTERM and SIGKILL, which
cut what is open without a line in the log: one that waits for a caller that
reads slowly, and one whose interpreter takes long to end.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack, suppress
from pathlib import Path
from unittest import mock

import attrs
from testtools import TestCase
from twisted.internet.task import Clock

from sequoiawind import daemon, event_loop
from sequoiawind.daemon import Daemon
from sequoiawind.lifecycle import Phase
from tests.platform_standin import Store, configuration
from tests.test_forward_processes import WAIT_TIMEOUT_S
from tests.test_read_slowly_in_a_stop import FastTarget
from tests.test_stop_processes import (
    GRACE_S,
    READ_BYTES,
    READ_PAUSE_S,
    RECEIVE_BUFFER_BYTES,
    Request,
    RouterProcess,
)

# Time for which the interpreter is held up at its end, in seconds, and within
# which the process ends all the same.
HELD_UP_S = 60.0
# Requests whose lines together exceed what a pipe holds and what is kept for a
# reader that is away.
REQUESTS = 1_000
# A program that is held up when its interpreter ends.
HELD_UP = f"""
import atexit, sys, time
from sequoiawind import forward_router_main
atexit.register(time.sleep, {HELD_UP_S})
forward_router_main.main()
"""


class NeverIdleTest(TestCase):
    """A process that never becomes idle, on a virtual clock."""

    def test_process_that_is_never_idle_ends_before_it_is_killed(self) -> None:
        clock, ended = Clock(), []
        with mock.patch.object(event_loop, "reactor", clock):
            stopping = Daemon(
                phase=Phase(),
                is_idle=lambda: False,
                work_s=lambda: daemon.work_time_s(GRACE_S),
                age_clock=clock.seconds,
            )
            stopping.phase.on_stopped = lambda: ended.append(clock.seconds())
            stopping.ready()
            stopping.leave()
            while clock.seconds() < GRACE_S + 1.0 and not ended:
                clock.advance(0.05)
        (ended_s,) = ended
        self.assertTrue(daemon.work_time_s(GRACE_S) <= ended_s, ended_s)
        self.assertTrue(ended_s < GRACE_S, ended_s)


@attrs.define(kw_only=True, eq=False)
class Rig:
    """A router before one target, as a process."""

    stack: ExitStack
    router: RouterProcess

    @classmethod
    def start(cls, stack: ExitStack) -> "Rig":
        """Start the router; the stack ends it."""
        store, folder = Store(), tempfile.TemporaryDirectory()
        stack.enter_context(store)
        store.put("keyed.op", "config", configuration(1))
        target = FastTarget(id="e1")
        stack.enter_context(target)
        store.put("keyed.servers", target.id, target.entry("llm"))
        router = RouterProcess(
            store=store.address, folder=stack.enter_context(folder)
        )
        return cls(stack=stack, router=stack.enter_context(router))


class ProcessTest(TestCase):
    """Real processes."""

    def test_stop_does_not_wait_for_a_caller_that_reads_slowly(self) -> None:
        self.check_slow_reader(b"")

    def test_answer_is_whole_though_its_caller_has_sent_on(self) -> None:
        """Bytes that the router has not read would reset the connection."""
        more = Request(name="q2", route="draft")
        self.check_slow_reader(more.head + more.body)

    def check_slow_reader(self, behind: bytes) -> None:
        """Check that a process ends in time, and its answer arrives whole.

        Args:
          behind: What the caller sends after its request.
        """
        with ExitStack() as stack:
            rig = Rig.start(stack)
            found = asyncio.run(self.read_slowly(rig.router, behind))
            self.assertEqual(b"200", found[9:12])
            whole, end, rest = found.partition(b"\r\n0\r\n\r\n")
            self.assertNotEqual(b"", end, len(whole))
            # What was sent behind the request may be refused.
            self.assertTrue(rest.startswith(b"HTTP/1.1 503 ") or not rest)
            lines = map(json.loads, rig.router.log.read_text().splitlines())
            (stopped,) = [line for line in lines if line["event"] == "stopped"]
            self.assertTrue(stopped["since_signal_s"] < GRACE_S, stopped)

    async def read_slowly(self, router: RouterProcess, behind: bytes) -> bytes:
        """Read until the process has ended, and only then to the end."""
        await router.wait_until(is_ready=True)
        with socket.socket() as slow:
            slow.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            slow.connect(("127.0.0.1", router.callers))
            request = Request(name="q1", route="draft")
            slow.sendall(request.head + request.body)
            found = slow.recv(READ_BYTES)
            slow.sendall(behind)
            router.process.terminate()
            while router.process.poll() is None:
                part = slow.recv(READ_BYTES)
                self.assertNotEqual(b"", part, "read all before the end")
                found += part
                await asyncio.sleep(READ_PAUSE_S)
            with suppress(ConnectionError):
                while part := slow.recv(65_536):
                    found += part
        return found

    def test_end_of_the_interpreter_is_not_waited_for(self) -> None:
        with ExitStack() as stack:
            rig = Rig.start(stack)
            # The same settings, after the router that they were made for.
            asyncio.run(rig.router.wait_until(is_ready=True))
            rig.router.process.kill()
            rig.router.process.wait()
            settings = Path(rig.router.folder) / "settings.toml"
            with rig.router.log.open("wb") as output:
                rig.router.process = subprocess.Popen(
                    [sys.executable, "-c", HELD_UP, str(settings)],
                    stdout=output,
                )
            asyncio.run(rig.router.wait_until(is_ready=True))
            rig.router.process.terminate()
            began_s = time.monotonic()
            self.assertEqual(0, rig.router.process.wait(HELD_UP_S))
            self.assertTrue(time.monotonic() - began_s < HELD_UP_S)
            self.assertIn('"stopped"', rig.router.log.read_text())


class SharedLogTest(TestCase):
    """A log whose other end nobody reads, and which others write to as well."""

    def test_log_that_another_process_has_made_blocking(self) -> None:
        """The router handles requests and SIGTERM, and ends by itself."""
        with ExitStack() as stack:
            rig = Rig.start(stack)
            asyncio.run(rig.router.wait_until(is_ready=True))
            rig.router.process.kill()
            rig.router.process.wait()
            settings = Path(rig.router.folder) / "settings.toml"
            reader, writer = os.pipe()
            stack.callback(os.close, reader)
            stack.callback(os.close, writer)
            rig.router.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "sequoiawind.forward_router_main",
                    str(settings),
                ],
                stdout=writer,
            )
            asyncio.run(rig.router.wait_until(is_ready=True))
            # The processes that share a pipe share this too.
            os.set_blocking(writer, True)
            answered = asyncio.run(self.fill_log(rig.router))
            self.assertEqual(REQUESTS, answered)
            rig.router.process.send_signal(signal.SIGTERM)
            self.assertEqual(0, rig.router.process.wait(WAIT_TIMEOUT_S))

    async def fill_log(self, router: RouterProcess) -> int:
        """Send requests, each of which writes lines; count the answers."""
        answered = 0
        for number in range(REQUESTS):
            request = Request(name=f"q{number}", route="nowhere")
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", router.callers
            )
            writer.write(request.head + request.body)
            with suppress(TimeoutError):
                async with asyncio.timeout(WAIT_TIMEOUT_S / 4):
                    await request.read_answer(reader)
            writer.close()
            if not request.is_whole:
                break
            answered += 1
        return answered
