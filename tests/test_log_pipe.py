"""Log output at a high rate of lines, and with a reader that stops."""

import os
import socket
import tempfile

import structlog
from testtools import TestCase

from sequoiawind import log_pipe
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

    def test_output_does_not_block_whatever_others_do_to_it(self) -> None:
        """Guards against a write to the log that holds the process up."""
        for reader, writer in (os.pipe(), self.socket_pair()):
            self.addCleanup(os.close, reader)
            self.addCleanup(os.close, writer)
            pipe = log_pipe.output_to(writer)
            os.set_blocking(writer, True)
            for _ in range(10_000):
                pipe.write("x" * 99 + "\n")
            self.assertTrue(pipe.lost > 0)

    def socket_pair(self) -> tuple[int, int]:
        """Return the descriptors of two connected sockets."""
        pair = socket.socketpair()
        return pair[0].detach(), pair[1].detach()

    def test_file_keeps_its_position(self) -> None:
        with tempfile.TemporaryFile() as file:
            file.write(b"before\n")
            file.flush()
            log_pipe.output_to(file.fileno()).write("line\n")
            file.seek(0)
            self.assertEqual(b"before\nline\n", file.read())

    def test_closed_pipe_raises_no_error(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, writer)
        pipe = LogPipe(descriptor=writer)
        pipe.write("line\n")
        self.assertEqual(1, pipe.lost)
