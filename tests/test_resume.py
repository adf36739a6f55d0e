"""Answers whose connection between router and agent broke, and is replaced."""

from testtools import TestCase

from sequoiawind import defaults
from sequoiawind.lab.memory_network import Connection
from sequoiawind.openai_format import DONE
from tests.session import Session

ENGINES = ("e1", "e2", "e3")


def begin(tokens: str = "600") -> tuple[Session, str]:
    """Return a session with an answer that has begun, and its engine."""
    session = Session()
    session.do_prompt("q1", "r0", tokens, "A briefing.")
    while len(session.callers["q1"].chunks) < 5:
        session.do_run("0.001")
    (name,) = [
        name for name in ENGINES if session.rig.agents[name].agent.relays
    ]
    return session, name


def cut_near(session: Session) -> Connection:
    """Break the connection for the router only; the agent learns it later."""
    (connection,) = session.router("r0").node.connections
    far_call, connection.far_call = connection.far_call, None
    connection.cut()
    connection.far_call = far_call
    return connection


def cut_far(session: Session) -> None:
    """Break the connection for the agent only; the router hears nothing."""
    (connection,) = session.router("r0").node.connections
    connection.far_call.detach()


class ResumeTest(TestCase):
    """The two ends of a connection learn at different times that it broke."""

    def check_whole(self, session: Session) -> None:
        """Check that the answer is whole, and that it came once."""
        self.assertIn("whole answer, right", session.lines[-1])
        self.assertEqual(1, session.callers["q1"].chunks.count(DONE))

    def test_agent_learns_of_the_break_after_the_resume(self) -> None:
        session, _ = begin()
        connection = cut_near(session)
        session.do_run("0.1")
        connection.far_call.detach()
        session.do_run("10")
        self.check_whole(session)
        # The resumed answer went on; it did not begin again elsewhere.
        exchange = session.callers["q1"].active_request.exchange
        self.assertEqual(1, len(set(exchange.targets_tried)))

    def test_second_break_has_the_whole_grace(self) -> None:
        session, name = begin()
        agent = session.rig.agents[name].agent
        (relay,) = agent.relays.values()
        cut_near(session).far_call.detach()
        session.do_run("1.5")
        self.assertNotEqual(None, relay.sink)
        cut_far(session)
        session.do_run(str(defaults.RESUME_GRACE_S - 0.1))
        self.assertEqual(None, relay.end)
        session.do_run("0.2")
        self.assertNotEqual(None, relay.end)

    def test_router_learns_of_the_break_after_the_grace(self) -> None:
        # The caller has not left, so its answer must not end as cancelled.
        session, _ = begin("1500")
        # The router checks for silence 10 s and 20 s after the start; the agent
        # still knows the attempt that it has cancelled at the second check.
        session.do_run("9")
        cut_far(session)
        session.do_run("40")
        self.check_whole(session)
