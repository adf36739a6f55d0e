"""Exchanges despite crashes, lost chunks and disconnected callers."""

from testtools import TestCase

from sequoiawind import invariants
from sequoiawind.chunk_order import ChunkOrder
from sequoiawind.lab.memory_network import ChunkFaults
from sequoiawind.openai_format import DONE
from sequoiawind.wire import Usage
from tests.session import Session

TOKENS = 10


class CrashTest(TestCase):
    """The answer is whole if the engine or agent fails at any chunk."""

    def prompt_until(self, chunks: int) -> Session:
        """Send a prompt and run until this number of chunks has arrived."""
        session = Session()
        session.do_prompt("q1", "r0", str(TOKENS), "A briefing.")
        caller = session.callers["q1"]
        for _ in range(4000):
            if len(caller.chunks) >= chunks:
                break
            session.do_run("0.001")
        return session

    def crash_after(self, chunks: int) -> Session:
        session = self.prompt_until(chunks)
        for name in ("e1", "e2", "e3"):
            engine = session.rig.agents[name].target
            if engine.batch or engine.waiting:
                engine.crash(0.5)
        session.do_run("10")
        return session

    def test_crash_at_every_chunk(self) -> None:
        for chunks in range(TOKENS + 3):
            session = self.crash_after(chunks)
            self.assertIn("whole answer, right", session.lines[-1])
            self.assertEqual(DONE, session.callers["q1"].chunks[-1])

    def test_agent_killed_at_every_chunk(self) -> None:
        for chunks in range(0, TOKENS, 3):
            session = self.prompt_until(chunks)
            for name in ("e1", "e2", "e3"):
                rig_agent = session.rig.agents[name]
                if rig_agent.agent.queue.running:
                    rig_agent.node.kill()
            session.do_run("10")
            self.assertIn("whole answer, right", session.lines[-1])


class ChunkFaultsTest(TestCase):
    """Lost, repeated, reordered or foreign chunks give no wrong answer."""

    def answers(self, faults: ChunkFaults) -> list[str]:
        """Return how each of 20 prompts ended, given these faults."""
        session = Session()
        session.rig.network.faults = faults
        for number in range(20):
            session.do_prompt(f"q{number}", "r0", "20", "A briefing.")
        session.do_run("40")
        return [line.split(", ")[1] for line in session.lines]

    def test_answers_are_right_despite_each_fault(self) -> None:
        for faults in (
            # Lost between agent and router, so that the agent has all chunks.
            ChunkFaults(lost=0.05, sender="agent"),
            ChunkFaults(duplicated=0.3),
            ChunkFaults(reordered=0.3),
            ChunkFaults(foreign=0.3),
            ChunkFaults(broken=0.05, sender="agent"),
        ):
            self.assertEqual(["right"] * 20, self.answers(faults), faults)

    def test_answer_is_right_or_fails_if_the_engine_loses_chunks(self) -> None:
        # The retry budget may be used up before the losses end; then the
        # caller gets a failure with a time to retry after.
        for faults in (ChunkFaults(lost=0.05), ChunkFaults(broken=0.05)):
            answers = set(self.answers(faults))
            self.assertIn("right", answers)
            self.assertEqual(
                set(), answers - {"right", "come back after 1.0 s"}
            )

    def test_chunks_are_passed_on_in_order(self) -> None:
        order = ChunkOrder()
        self.assertEqual([b"a"], order.take(0, b"a"))
        self.assertEqual([], order.take(2, b"c"))
        self.assertEqual([], order.take(0, b"a"))
        self.assertEqual([b"b", b"c"], order.take(1, b"b"))
        self.assertEqual([DONE], order.take(3, DONE))
        self.assertTrue(order.is_whole)
        self.assertEqual(1, order.duplicates)


class CallerDisconnectTest(TestCase):
    """A disconnected caller stops idempotent work only."""

    def test_engine_stops(self) -> None:
        session = Session()
        session.do_prompt("q1", "r0", "500", "A briefing.")
        session.do_run("0.5")
        session.do_leave("q1")
        session.do_run("0.5")
        for name in ("e1", "e2", "e3"):
            self.assertEqual([], session.rig.agents[name].target.batch)

    def test_action_continues(self) -> None:
        session = Session()
        session.do_book("b1", "r0", "k1", "{}")
        session.do_run("0.01")
        session.do_leave("b1")
        session.do_run("1")
        session.do_book("b2", "r1", "k1", "{}")
        session.do_run("1")
        self.assertEqual("b2: 200 done", session.lines[-1])


class AccountingTest(TestCase):
    """A failure of the accounting does not withhold an answer."""

    def test_answer_arrives(self) -> None:
        session = Session()

        def fail(note: object, ended: object) -> None:
            raise RuntimeError("accounts")

        session.rig.routers[0].router.on_end = fail
        session.do_prompt("q1", "r0", "4", "A briefing.")
        self.assertRaises(RuntimeError, session.do_run, "3")
        self.assertIn("whole answer, right", session.lines[-1])

    def test_negative_usage_is_refused(self) -> None:
        data = b'{"usage": {"prompt_tokens": -3, "completion_tokens": 2}}'
        from sequoiawind import openai_format

        self.assertEqual(
            Usage(completion_tokens=2), openai_format.usage_of(data)
        )


class InvariantTest(TestCase):
    """A violated invariant raises an exception and is recorded."""

    def test_out_of_order_chunk(self) -> None:
        self.addCleanup(invariants.violations.clear)
        self.assertRaises(
            invariants.InvariantError, invariants.next_chunk, 1, 2, "q"
        )
        self.assertEqual(1, len(invariants.violations))
