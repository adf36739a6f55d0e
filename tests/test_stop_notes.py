"""A router's log tells what a stop has cut, and whether it was killed.

Guards against cut answers that no line names, and processes of which it is not
known whether they ended by themselves.
"""

import http.client
import json
import logging
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any
from unittest import mock

import attrs
import structlog
from testtools import TestCase

from sequoiawind import event_loop, open_work
from sequoiawind.lifecycle import Phase
from sequoiawind.log_pipe import BURST_LINES, LogBudget, LogPipe
from sequoiawind.stop_notes import (
    MAX_NAMED_REQUESTS,
    NAMES_PER_LINE,
    OpenRequest,
    OpenWork,
    Step,
    StopNotes,
)
from tests.platform_standin import Store, Target, configuration
from tests.test_forward_path import ENTRY, NODE, PROMPT
from tests.test_forward_processes import WAIT_TIMEOUT_S, free_ports
from tests.test_late_in_shutdown import END_S, LEAVE_S, Stopping, request

# Bounds with so long a grace that a slow machine reaches no end in it.
BOUNDS = """
[bounds]
grace_s = 60.0
"""


def capture() -> tuple[Any, list[Any]]:
    """Return a logger and the list that its lines are added to."""
    lines = structlog.testing.LogCapture()
    log = structlog.wrap_logger(
        None,
        processors=[lines],
        # Other tests set a level for the whole process.
        wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG),
    )
    return log, lines.entries


def named(lines: list[Any], at: str) -> list[str]:
    """Return the ids of the requests that lines name at a step."""
    return [
        request_id
        for line in lines
        if line["event"] == "requests open" and line["at"] == at
        for request_id in line["request_ids"]
    ]


def only(lines: list[Any], event: str) -> Any:
    """Return the only line of an event."""
    (found,) = [line for line in lines if line["event"] == event]
    return found


class StopLinesTest(TestCase):
    """The lines of a router that is stopped, on a virtual clock."""

    def setUp(self) -> None:
        super().setUp()
        self.router = Stopping()
        patch = mock.patch.object(event_loop, "reactor", self.router.rig.clock)
        patch.start()
        self.addCleanup(patch.stop)
        log, self.lines = capture()
        self.notes = StopNotes(
            log=log,
            phase=self.router.phase,
            open_work=lambda: open_work.of_router(
                self.router.rig.forwarder,
                self.router.site,
                self.router.shutdown.closer,
            ),
        )
        self.router.daemon.on_step = self.notes.note
        self.router.phase.on_stopped = lambda: self.notes.note(Step.END)

    def send(self, route: str, request_id: str) -> None:
        """Send a request on a new connection."""
        data = request(route, 20_000).replace(b"q1", request_id.encode())
        self.router.connect().protocol.dataReceived(data)

    def test_open_requests_are_named_at_the_signal_and_the_drain(self) -> None:
        self.send("brief", "stream")
        self.router.rig.port.sent[0].begin(200, b"id: 1\ndata: x\n\n")
        self.send("book", "before")
        self.router.connect().protocol.dataReceived(request("book")[:30])
        self.router.advance_to(1.0)
        self.router.daemon.leave()
        self.send("book", "after")
        self.router.advance_to(1.0 + LEAVE_S + 0.1)
        signal_line = only(self.lines, "signal received")
        self.assertEqual("SIGTERM", signal_line["signal"])
        self.assertEqual(2, signal_line["open_requests"])
        self.assertEqual(1, signal_line["unread_requests"])
        self.assertEqual(3, signal_line["connections"])
        self.assertEqual("serving", signal_line["phase"])
        self.assertEqual(["stream", "before"], named(self.lines, "SIGTERM"))
        self.assertEqual(
            ["stream", "before", "after"], named(self.lines, "drain")
        )
        drain = only(self.lines, "drain began")
        self.assertEqual("draining", drain["phase"])
        self.assertTrue(LEAVE_S <= drain["since_signal_s"] < LEAVE_S + 0.1)
        first = next(x for x in self.lines if x["event"] == "requests open")
        self.assertEqual(["answering", "sent"], first["request_phases"])
        self.assertEqual(["e1", "p1"], first["targets"])
        self.assertEqual([], [x for x in self.lines if x["event"] == "stopped"])

    def test_line_at_the_end_tells_what_was_open(self) -> None:
        self.send("book", "late")
        self.router.daemon.leave()
        self.router.advance_to(END_S + 0.02)
        self.assertEqual("ending", self.router.phase.stage)
        self.router.advance_to(END_S + 0.5)
        self.assertTrue(self.router.stopped_s > 0.0)
        self.notes.stopped()
        stopped = only(self.lines, "stopped")
        self.assertEqual(0, stopped["open_requests"])
        self.assertEqual("stopped", stopped["phase"])
        self.assertTrue(stopped["since_signal_s"] >= END_S)

    def test_open_work_at_the_end_is_that_before_connections_end(self) -> None:
        work = [OpenWork(connections=1, untaken_bytes=70)]
        log, lines = capture()
        notes = StopNotes(log=log, phase=Phase(), open_work=lambda: work[0])
        notes.note(Step.END)
        work[0] = OpenWork()
        notes.stopped()
        self.assertEqual(70, only(lines, "stopped")["untaken_bytes"])
        self.assertEqual(-1, only(lines, "stopped")["since_signal_s"])

    def test_names_are_bounded(self) -> None:
        requests = [OpenRequest(request_id=f"q{n}") for n in range(1_000)]
        log, lines = capture()
        notes = StopNotes(
            log=log,
            phase=Phase(),
            open_work=lambda: OpenWork(requests=requests),
        )
        notes.note(Step.SIGHUP)
        self.assertEqual([], named(lines, "SIGHUP"))
        notes.note(Step.SIGTERM)
        found = named(lines, "SIGTERM")
        self.assertEqual([f"q{n}" for n in range(MAX_NAMED_REQUESTS)], found)
        self.assertTrue(
            all(
                len(line.get("request_ids", ())) <= NAMES_PER_LINE
                for line in lines
            )
        )
        self.assertEqual(1_000, lines[0]["open_requests"])


class LastLinesTest(TestCase):
    """Lines at the end of a process reach the reader of its log."""

    def test_line_of_the_end_is_not_left_out(self) -> None:
        budget = LogBudget(now=lambda: 0.0)
        left_out = 0
        for _ in range(int(2 * BURST_LINES)):
            try:
                budget(None, "warning", {"event": "attempt failed"})
            except structlog.DropEvent:
                left_out += 1
        self.assertTrue(left_out > 0)
        event = budget(None, "info", {"event": "stopped"})
        self.assertEqual(left_out, event["lines_left_out"])

    def test_end_waits_for_a_reader_that_has_fallen_behind(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        os.set_blocking(writer, False)
        pipe = LogPipe(descriptor=writer)
        while not pipe.unwritten:
            pipe.write("x" * 999 + "\n")
        pipe.write("stopped\n")
        cat = subprocess.Popen(["cat"], stdin=reader, stdout=subprocess.PIPE)
        pipe.flush_at_end()
        os.close(writer)
        self.assertTrue(cat.communicate()[0].endswith(b"\nstopped\n"))

    def test_end_does_not_wait_for_a_reader_that_has_stopped(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(writer, False)
        pipe = LogPipe(descriptor=writer)
        while not pipe.unwritten:
            pipe.write("x" * 999 + "\n")
        pipe.flush_at_end()
        self.assertTrue(pipe.unwritten)


@attrs.define(kw_only=True, eq=False)
class LoggedRouter:
    """A router as a process, with a store and an engine."""

    test: TestCase
    engine: Target = attrs.field(factory=lambda: Target(id="e1"))
    process: subprocess.Popen[bytes] = attrs.field(init=False)
    callers: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start the stand-ins and the router; wait until it is ready."""
        store = Store()
        for stand_in in (store, self.engine):
            stand_in.__enter__()
            self.test.addCleanup(stand_in.__exit__)
        store.put("keyed.op", "config", configuration(3))
        store.put("keyed.servers", "e1", self.engine.entry("llm"))
        folder = tempfile.TemporaryDirectory()
        self.test.addCleanup(folder.cleanup)
        agent, self.callers, ready, metrics = free_ports(4)
        node = NODE.format(
            store=store.address,
            target="",
            name="r1",
            agent=agent,
            metrics=metrics,
        )
        entry = ENTRY.format(callers=self.callers, ready=ready)
        file = Path(folder.name) / "router.toml"
        file.write_text(node + entry + BOUNDS, encoding="utf-8")
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "sequoiawind.forward_router_main",
                str(file),
            ],
            stdout=subprocess.PIPE,
            env=dict(os.environ),
        )
        self.test.addCleanup(self.end)
        self.lines_until("ready")

    def end(self) -> None:
        """Kill the process."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        assert self.process.stdout is not None
        self.process.stdout.close()

    def lines_until(self, event: str = "") -> list[Any]:
        """Return the next lines of the log, up to one of an event."""
        found = []
        assert self.process.stdout is not None
        for line in self.process.stdout:
            found.append(json.loads(line))
            if found[-1]["event"] == event:
                break
        return found

    def open_stream(self, request_id: str) -> http.client.HTTPResponse:
        """Ask for a stream, and return it once its first event is here."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.callers, timeout=WAIT_TIMEOUT_S
        )
        self.test.addCleanup(connection.close)
        headers = {
            "Host": "h.example",
            "Sequoiawind-Attempt-Id": request_id,
            "Sequoiawind-Deadline-Ms": "20000",
            "Authorization": "Token k1",
            **PROMPT,
        }
        connection.request("POST", "/brief/x", "body", headers)
        response = connection.getresponse()
        response.read(1)
        return response


class KilledRouterTest(TestCase):
    """Processes that end with a stream open."""

    def test_killed_router_has_named_its_stream_and_has_no_end(self) -> None:
        router = LoggedRouter(test=self)
        router.engine.events, router.engine.pause_s = 1_000, 0.05
        router.open_stream("long-one")
        router.process.send_signal(signal.SIGTERM)
        lines = router.lines_until("drain began")
        router.process.kill()
        lines += router.lines_until()
        self.assertEqual(["long-one"], named(lines, "SIGTERM"))
        self.assertEqual("SIGTERM", only(lines, "signal received")["signal"])
        events = {line["event"] for line in lines}
        self.assertFalse(events & {"stopped", "request"}, events)

    def test_router_that_ends_by_itself_says_so_last(self) -> None:
        router = LoggedRouter(test=self)
        router.engine.events, router.engine.pause_s = 20, 0.05
        stream = router.open_stream("short-one")
        router.process.send_signal(signal.SIGTERM)
        self.assertIn(b"id: 20\n", stream.read())
        lines = router.lines_until()
        self.assertEqual(["short-one"], named(lines, "SIGTERM"))
        self.assertEqual("stopped", lines[-1]["event"])
        self.assertEqual(0, lines[-1]["open_requests"])
        self.assertEqual(0, router.process.wait(timeout=WAIT_TIMEOUT_S))
