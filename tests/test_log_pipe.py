"""Log output at a high rate of lines, and with a reader that stops."""

import os

import structlog
from testtools import TestCase

from sequoiawind.log_pipe import BURST_LINES, LINES_PER_S, LogBudget, LogPipe


class BudgetTest(TestCase):
    """Lines over the rate are left out, common ones first, and counted."""

    def count_passed(self, budget: LogBudget, method: str, lines: int) -> int:
        count = 0
        for _ in range(lines):
            try:
                budget(None, method, {})
            except structlog.DropEvent:
                continue
            count += 1
        return count

    def test_common_lines_are_left_out_first(self) -> None:
        budget = LogBudget(now=lambda: 0.0)
        lines = int(BURST_LINES)
        common = self.count_passed(budget, "info", lines)
        urgent = self.count_passed(budget, "warning", lines)
        self.assertTrue(0 < common < lines, common)
        self.assertTrue(0 < urgent < lines, urgent)

    def test_rate_and_count(self) -> None:
        now = [0.0]
        budget = LogBudget(now=lambda: now[0])
        self.count_passed(budget, "info", 10_000)
        left_out = budget.left_out
        now[0] = 1.0
        event = budget(None, "info", {})
        self.assertEqual(left_out, event["lines_left_out"])
        more = self.count_passed(budget, "info", 10_000)
        self.assertTrue(more <= LINES_PER_S, more)


class PipeTest(TestCase):
    """Lines are dropped if the reader stops; the writer is not blocked."""

    def test_stopped_reader_gets_whole_lines_only(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(writer, False)
        pipe = LogPipe(descriptor=writer)
        for _ in range(5_000):
            pipe.write("x" * 99 + "\n")
        self.assertTrue(pipe.lost > 0)
        received = os.read(reader, 1 << 20)
        pipe.write("last\n")
        received += os.read(reader, 1 << 20)
        # Only whole lines are written, in order.
        lines = received.split(b"\n")
        self.assertEqual({b"x" * 99}, set(lines[:-2]))

    def test_closed_pipe_raises_no_error(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, writer)
        pipe = LogPipe(descriptor=writer)
        pipe.write("line\n")
        self.assertEqual(1, pipe.lost)
