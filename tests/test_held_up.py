"""A log tells of an event loop that is held up, and of lines that it lacks.

Guards against a process of which no line tells why it did not end.
"""

import subprocess
import sys
from typing import Any

import structlog
from testtools import TestCase
from twisted.internet.task import Clock

from sequoiawind.held_up import CHECK_S, HeldUpWatch
from sequoiawind.log_pipe import BURST_LINES, MAX_NAMED_ENDS, LogBudget
from tests.test_stop_notes import capture

# A process whose event loop is held up when SIGTERM arrives.
HELD_UP = """
import os, signal, time
from sequoiawind import event_loop
from sequoiawind.daemon import Daemon
from sequoiawind.lifecycle import Phase
def held_up_here():
    os.kill(os.getpid(), signal.SIGTERM)
    time.sleep(2.0)
    os._exit(0)
with Daemon(phase=Phase(), is_idle=lambda: True, work_s=lambda: 0.1) as daemon:
    event_loop.reactor.callLater(0, held_up_here)
    daemon.run()
"""


class HeldUpTest(TestCase):
    """Delays of the event loop."""

    def test_delay_is_logged_with_its_length(self) -> None:
        clock, (log, lines) = Clock(), capture()
        HeldUpWatch(clock=clock, log=log).start()
        clock.advance(CHECK_S)
        self.assertEqual([], lines)
        clock.advance(CHECK_S + 3.0)
        (line,) = lines
        self.assertEqual("event loop held up", line["event"])
        self.assertEqual(3.0, line["held_up_s"])
        clock.advance(CHECK_S)
        self.assertEqual(1, len(lines))

    def test_stop_that_is_held_up_writes_where(self) -> None:
        done = subprocess.run(
            [sys.executable, "-c", HELD_UP], capture_output=True, check=True
        )
        self.assertIn(b"held_up_here", done.stderr)


class LinesTest(TestCase):
    """Lines that are not there."""

    def write(
        self, budget: LogBudget, method: str = "info", **event: Any
    ) -> dict[str, Any] | None:
        """Pass a line to the budget; return it if it is written."""
        try:
            return dict(budget(None, method, event))
        except structlog.DropEvent:
            return None

    def test_lines_are_numbered_and_lost_ones_counted(self) -> None:
        lost = 0
        budget = LogBudget(now=lambda: 0.0, count_lost=lambda: lost)
        first = self.write(budget, event="a")
        lost = 3
        second, third = (self.write(budget, event="a") for _ in range(2))
        assert first and second and third
        self.assertEqual(
            [1, 2, 3], [line["line"] for line in (first, second, third)]
        )
        self.assertEqual(3, second["lines_lost"])
        self.assertNotIn("lines_lost", third)

    def test_each_request_leaves_a_trace_however_many_end(self) -> None:
        budget = LogBudget(now=lambda: 0.0)
        named: list[str] = []
        count = int(3 * BURST_LINES)
        whole = 0
        for number in range(count):
            line = self.write(
                budget, event="request", request_id=f"q{number}", verdict="done"
            )
            if line is not None:
                whole += line["event"] == "request"
                named += line.get("ends_left_out", [])
        line = self.write(budget, event="stopped")
        assert line is not None
        named += line.get("ends_left_out", [])
        self.assertEqual(count, whole + len(named))
        self.assertEqual(f"q{count - 1} done", named[-1])
        lines = (count - whole) // MAX_NAMED_ENDS + whole + 1
        self.assertEqual(lines, line["line"])
