"""A router that is stopped gives each request an answer before its end.

Guards against requests behind the OpenAI interface being cut without an answer
because they last longer than the platform lets the process go on.
"""

from testtools import TestCase

from sequoiawind import daemon
from tests.session import Session

# When a step runs that comes before any answer, in seconds.
SOON = "0.001"


class EndAllTest(TestCase):
    """Requests that are open when the time ends."""

    def end_all(self, session: Session) -> None:
        """End all requests of a router, and let its outcomes be written."""
        router = session.router("r0").router
        router.end_all()
        session.do_run("5")
        self.assertEqual(0, router.open_requests)

    def test_prompt_whose_answer_has_begun(self) -> None:
        session = Session()
        session.do_prompt("q1", "r0", "2000", "A briefing.")
        session.do_run("1")
        self.end_all(session)
        self.assertIn("q1: 503 may_have_run shutting_down", session.lines[-1])

    def test_action_at_each_step(self) -> None:
        for steps in range(1, 40, 3):
            session = Session()
            session.do_book("b1", "r0", "k1", "{}")
            for _ in range(steps):
                session.do_run(SOON)
            self.end_all(session)
            answer = session.lines[-1]
            session.do_executions("k1")
            executed = session.lines[-1]
            if "not_run" in answer:
                self.assertEqual("executed 0 times", executed, steps)
                # The key is free again.
                session.do_book("b2", "r1", "k1", "{}")
                session.do_run("5")
                self.assertIn("b2: 200 done", session.lines[-1])
            else:
                self.assertTrue(
                    "may_have_run" in answer or "200 done" in answer, answer
                )

    def test_time_is_known_only_where_the_platform_states_it(self) -> None:
        for grace_s, work_s in ((0.0, float("inf")), (8.0, 7.5), (2.0, 1.8)):
            self.assertEqual(work_s, daemon.work_time_s(grace_s))
