"""Large answers that wait for memory go on, and do not count as silent."""

import attrs
from testtools import TestCase
from twisted.internet.task import Clock

from sequoiawind.caller_output import SMALL_ANSWER_BYTES, CallerOutput
from sequoiawind.memory_budget import FULL_SHARE, MemoryBudget
from sequoiawind.platform.callers import Caller
from tests.stand_ins import FakeTransport

LIMIT_BYTES = 1_000_000
FULL_BYTES = int(FULL_SHARE * LIMIT_BYTES)


@attrs.define(kw_only=True, eq=False)
class FakeSource:
    """A target's connection that only records whether it is read."""

    is_paused: bool = False

    def pause(self) -> None:
        """Record the pause."""
        self.is_paused = True

    def resume(self) -> None:
        """Record that it is read."""
        self.is_paused = False


@attrs.define(kw_only=True, eq=False)
class FakeConnection:
    """A connection of which only the output is looked at."""

    output: CallerOutput


class WaitingAnswersTest(TestCase):
    """Several answers that are held whole, and one budget."""

    def setUp(self) -> None:
        super().setUp()
        self.budget = MemoryBudget(limit_bytes=LIMIT_BYTES)
        self.sources: list[FakeSource] = []

    def output(self) -> CallerOutput:
        output = CallerOutput(
            transport=FakeTransport(),
            clock=Clock(),
            budget=self.budget,
            on_stalled=lambda caller: None,
            on_drained=lambda: None,
        )
        self.sources.append(FakeSource())
        output.attach(self.sources[-1])
        return output

    @property
    def read(self) -> list[bool]:
        """Which of the sources are read."""
        return [not source.is_paused for source in self.sources]

    def test_one_goes_on_and_then_the_next(self) -> None:
        self.budget.add(FULL_BYTES)
        outputs = [self.output() for _ in range(3)]
        for output in outputs:
            self.assertTrue(output.hold(SMALL_ANSWER_BYTES + 1))
        self.assertEqual([True, False, False], self.read)
        outputs[0].release(SMALL_ANSWER_BYTES + 1)
        self.assertEqual([True, True, False], self.read)
        self.budget.add(-FULL_BYTES)
        self.assertEqual([True, True, True], self.read)

    def test_the_one_that_has_met_the_limit_goes_on(self) -> None:
        """Guards against an answer that waits until its deadline."""
        self.budget.add(FULL_BYTES)
        outputs = [self.output(), self.output()]
        for output in outputs:
            output.hold(SMALL_ANSWER_BYTES + 1)
        outputs[0].hold(LIMIT_BYTES - FULL_BYTES)
        self.assertEqual([False, False], self.read)
        self.budget.add(-4 * SMALL_ANSWER_BYTES)
        self.assertTrue(self.budget.is_full)
        self.assertEqual([True, False], self.read)

    def test_small_answers_never_wait(self) -> None:
        self.budget.add(LIMIT_BYTES)
        self.output().hold(SMALL_ANSWER_BYTES)
        self.assertEqual([True], self.read)

    def test_answer_that_waits_is_not_silent(self) -> None:
        """Guards against more requests to other targets for want of memory."""
        self.budget.add(FULL_BYTES)
        outputs = [self.output(), self.output()]
        for output in outputs:
            output.hold(SMALL_ANSWER_BYTES + 1)
        found = []
        for output in outputs:
            connection = FakeConnection(output=output)
            caller = Caller(connection=connection)  # type: ignore[arg-type]
            found.append(caller.is_choked)
        self.assertEqual([False, True], found)
