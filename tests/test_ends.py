"""Every accepted request ends once, with its answer or a true failure."""

from unittest import mock

from testtools import TestCase

from sequoiawind import invariants, keys, openai_format
from sequoiawind.exchange_attempt import AttemptSink
from sequoiawind.openai_format import DONE
from sequoiawind.plan import CallerRequest
from sequoiawind.verdict import Reason, may_have_run
from sequoiawind.wire import Ended
from tests.session import Session, SessionCaller
from tests.test_silent_agents import slow_down

ENGINES = ("e1", "e2", "e3")
TOKENS = 10


def begin(session: Session, key: str | None = None) -> str:
    """Send a prompt and run until its answer has begun; return its engine."""
    prompt = "A briefing. " * 100
    caller = SessionCaller(
        name="q1", lines=session.lines, prompt=prompt, tokens=TOKENS
    )
    request = CallerRequest(
        request_id="q1",
        token=session.account,
        path=openai_format.TEXT_PATH,
        model="model",
        prompt=prompt,
        max_tokens=TOKENS,
        idempotency_key=key,
    )
    session.submit("r0", caller, request)
    while len(caller.chunks) < 3:
        session.do_run("0.0001")
    (name,) = [
        name for name in ENGINES if session.rig.agents[name].agent.relays
    ]
    return name


class OnceOnlyPromptTest(TestCase):
    """A prompt of a kind that must not repeat runs at one engine only."""

    def test_agent_that_is_gone_ends_the_request(self) -> None:
        self.addCleanup(invariants.violations.clear)
        session = Session()
        session.do_ops("r0", "set repeat of kind prompt to never")
        name = begin(session, keys.make_key(session.rig.wall(), 1))
        session.do_kill(f"agent-{name}")
        session.do_run("3")
        self.assertEqual([], invariants.violations)
        self.assertIn("q1: 503 may_have_run", session.lines[-1])

    def test_resume_that_is_refused_is_no_proof(self) -> None:
        # The engine is silent, and its agent cannot be reached anew.
        self.addCleanup(invariants.violations.clear)
        session = Session()
        session.do_ops("r0", "set repeat of kind prompt to never")
        name = begin(session, keys.make_key(session.rig.wall(), 1))
        slow_down(session, name, 30.0)
        session.do_run("1")
        session.rig.agents[name].node.is_up = False
        session.do_run("25")
        session.rig.agents[name].node.is_up = True
        session.do_run("35")
        self.assertEqual([], invariants.violations)
        others = [
            session.rig.agents[other].target.prompt_tokens
            for other in ENGINES
            if other != name
        ]
        self.assertEqual([0, 0], others)
        self.assertIn("q1: 504 may_have_run deadline", session.lines[-1])


class WholeAnswerTest(TestCase):
    """An answer whose last chunk has arrived is complete."""

    def test_connection_lost_behind_the_last_chunk(self) -> None:
        session = Session()
        name = begin(session)
        caller = session.callers["q1"]
        exchange = caller.active_request.exchange
        sink = exchange.current
        with mock.patch.object(AttemptSink, "ended"):
            # The agent's end event is lost.
            session.do_run("1")
        self.assertEqual(DONE, caller.chunks[-1])
        session.do_kill(f"agent-{name}")
        lost = may_have_run(Reason.CONNECTION_LOST)
        sink.ended(Ended(failure=lost))
        session.do_run("5")
        self.assertIn("whole answer, right", session.lines[-1])
        self.assertEqual(1, caller.chunks.count(DONE))
        self.assertEqual(1, exchange.attempts)

    def test_silence_behind_the_last_chunk(self) -> None:
        session = Session()
        name = begin(session)
        caller = session.callers["q1"]
        with mock.patch.object(AttemptSink, "ended"):
            session.do_run("1")
        session.do_kill(f"agent-{name}")
        session.do_run("25")
        self.assertIn("whole answer, right", session.lines[-1])
        self.assertEqual(1, caller.chunks.count(DONE))
