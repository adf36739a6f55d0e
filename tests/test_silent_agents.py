"""Accepted requests whose target or agent falls silent and then goes on."""

import attrs
from testtools import TestCase

from sequoiawind import defaults
from sequoiawind.openai_format import DONE, TEXT_PATH
from sequoiawind.retries import Budget
from sequoiawind.wire import Attempt, Ended, LoadReport
from tests.session import Session

ENGINES = ("e1", "e2", "e3")
TOKENS = "10"


def home_of(session: Session) -> str:
    """Return the engine whose agent holds the only attempt."""
    (name,) = [
        name
        for name in ENGINES
        if session.rig.agents[name].agent.relays
        or session.rig.agents[name].node.held
    ]
    return name


def pause_all(session: Session) -> None:
    """Pause the agents of all engines."""
    for name in ENGINES:
        session.do_pause(f"agent-{name}")


def find_home(session: Session) -> str:
    """Send a prompt to paused agents; return the one that it is sent to."""
    pause_all(session)
    session.do_prompt("q1", "r0", TOKENS, "A briefing.")
    session.do_run("0.01")
    home = home_of(session)
    for name in ENGINES:
        if name != home:
            session.do_resume(f"agent-{name}")
    return home


def refuse_elsewhere(session: Session, home: str) -> None:
    """Let all agents but one refuse new work."""
    for name in ENGINES:
        if name != home:
            session.rig.agents[name].agent.stop_admitting()


def slow_down(session: Session, name: str, seconds: float) -> None:
    """Let each further step of an engine take some seconds longer."""
    engine = session.rig.agents[name].target
    engine.parameters = attrs.evolve(engine.parameters, step_base_s=seconds)


def freeze_engine(session: Session, name: str, seconds: float) -> None:
    """Let an engine yield nothing for some seconds, then go on."""
    engine = session.rig.agents[name].target
    usual = engine.parameters
    slow_down(session, name, seconds)
    session.do_run("0.1")
    engine.parameters = usual


class SilentAgentTest(TestCase):
    """An agent is silent before it has admitted an attempt."""

    def check_answered(self, session: Session, home: str) -> None:
        """Check that the answer comes once the agent goes on."""
        session.do_run("2.9")
        self.assertEqual(None, session.callers["q1"].end)
        session.do_resume(f"agent-{home}")
        session.do_run("3")
        self.assertIn("whole answer, right", session.lines[-1])
        self.assertEqual(DONE, session.callers["q1"].chunks[-1])

    def test_action_is_waited_for(self) -> None:
        session = Session()
        session.do_pause("agent-service")
        session.do_book("b1", "r0", "k1", "{}")
        session.do_run("3")
        session.do_resume("agent-service")
        session.do_run("1")
        self.assertEqual(["b1: 200 done"], session.lines)
        session.do_executions("k1")
        self.assertEqual("executed 1 times", session.lines[-1])

    def test_prompt_is_waited_for_if_others_refuse(self) -> None:
        session = Session()
        home = find_home(session)
        refuse_elsewhere(session, home)
        self.check_answered(session, home)

    def test_prompt_is_waited_for_without_a_retry_budget(self) -> None:
        session = Session()
        home = find_home(session)
        budgets = session.router("r0").board.budgets
        budgets.budgets["nordlys"] = Budget(available=0.0)
        self.check_answered(session, home)

    def test_prompt_is_waited_for_if_all_are_silent(self) -> None:
        session = Session()
        home = find_home(session)
        pause_all(session)
        self.check_answered(session, home)

    def test_prompt_is_waited_for_after_the_last_attempt(self) -> None:
        session = Session()
        home = find_home(session)
        exchange = session.callers["q1"].active_request.exchange
        exchange.attempts = defaults.MAX_ATTEMPTS
        self.check_answered(session, home)

    def test_other_target_takes_over_and_the_silent_one_stops(self) -> None:
        session = Session()
        home = find_home(session)
        session.do_run("4")
        self.assertIn("whole answer, right", session.lines[-1])
        session.do_resume(f"agent-{home}")
        session.do_run("1")
        for name in ENGINES:
            rig_agent = session.rig.agents[name]
            self.assertEqual(0, len(rig_agent.target.batch))
            self.assertTrue(rig_agent.agent.is_idle())
        for health in session.router("r0").board.members.health.values():
            self.assertEqual(0, health.open_attempts)

    def test_silent_one_that_goes_on_first_ends_the_other(self) -> None:
        session = Session()
        home = find_home(session)
        for name in ENGINES:
            if name != home:
                slow_down(session, name, 5.0)
        session.do_run("2.5")
        working = [
            name
            for name in ENGINES
            if session.rig.agents[name].agent.queue.running
        ]
        self.assertEqual(1, len(working))
        session.do_resume(f"agent-{home}")
        session.do_run("1")
        self.assertIn("whole answer, right", session.lines[-1])
        (other,) = working
        self.assertTrue(session.rig.agents[other].agent.is_idle())
        exchange = session.callers["q1"].active_request.exchange
        self.assertEqual(home, exchange.current.candidate.name)

    def test_deadline_ends_the_wait_and_the_attempt(self) -> None:
        session = Session()
        home = find_home(session)
        refuse_elsewhere(session, home)
        session.do_run("61")
        self.assertIn("504 may_have_run deadline", session.lines[-1])
        session.do_resume(f"agent-{home}")
        session.do_run("1")
        self.assertTrue(session.rig.agents[home].agent.is_idle())


class SilentEngineTest(TestCase):
    """An engine is silent in the middle of an answer."""

    def start(self) -> tuple[Session, str]:
        """Return a session with an answer that has begun, and its engine."""
        session = Session()
        session.do_prompt("q1", "r0", "40", "A briefing.")
        while len(session.callers["q1"].chunks) < 5:
            session.do_run("0.001")
        return session, home_of(session)

    def check_whole(self, session: Session) -> None:
        """Check that the answer is whole and that nothing works on."""
        self.assertIn("whole answer, right", session.lines[-1])
        for name in ENGINES:
            rig_agent = session.rig.agents[name]
            self.assertEqual(0, len(rig_agent.target.batch))
            self.assertTrue(rig_agent.agent.is_idle())

    def test_short_silence(self) -> None:
        session, home = self.start()
        refuse_elsewhere(session, home)
        freeze_engine(session, home, 3.0)
        session.do_run("5")
        self.check_whole(session)

    def test_long_silence_if_others_refuse(self) -> None:
        session, home = self.start()
        refuse_elsewhere(session, home)
        freeze_engine(session, home, 40.0)
        session.do_run("39")
        self.assertEqual(None, session.callers["q1"].end)
        self.assertEqual(1, len(session.rig.agents[home].target.batch))
        session.do_run("3")
        self.check_whole(session)

    def test_long_silence_without_a_retry_budget(self) -> None:
        session, home = self.start()
        budgets = session.router("r0").board.budgets
        budgets.budgets["nordlys"] = Budget(available=0.0)
        freeze_engine(session, home, 40.0)
        session.do_run("42")
        self.check_whole(session)

    def test_long_silence_is_continued_elsewhere(self) -> None:
        session, home = self.start()
        freeze_engine(session, home, 59.0)
        session.do_run("45")
        self.check_whole(session)

    def test_deadline_cancels_the_silent_engine(self) -> None:
        session, home = self.start()
        refuse_elsewhere(session, home)
        freeze_engine(session, home, 100.0)
        session.do_run("61")
        self.assertIn("504 may_have_run deadline", session.lines[-1])
        self.assertEqual(0, len(session.rig.agents[home].target.batch))
        self.assertTrue(session.rig.agents[home].agent.is_idle())


class FullTargetsTest(TestCase):
    """The engine of an answer that has begun is lost, and others are full."""

    def test_continuation_waits_for_room(self) -> None:
        session = Session()
        session.do_prompt("q1", "r0", "40", "A briefing.")
        while len(session.callers["q1"].chunks) < 5:
            session.do_run("0.001")
        home = home_of(session)
        for name in ENGINES:
            if name != home:
                self.fill(session, name)
        session.do_crash(home, "30")
        session.do_run("9")
        self.assertEqual(None, session.callers["q1"].end)
        session.do_run("25")
        self.assertIn("whole answer, right", session.lines[-1])

    def fill(self, session: Session, name: str) -> None:
        """Let a prompt hold an engine's only place for about 20 s."""
        slow_down(session, name, 10.0)
        agent = session.rig.agents[name].agent
        agent.queue.max_running = 1
        agent.queue.slot_time_s = 20.0
        attempt = Attempt(
            attempt_id=f"a-{name}",
            request_id="other",
            account="petra",
            kind="prompt",
            target=name,
            max_first_s=5.0,
            prompt="x",
            max_tokens=2,
            path=TEXT_PATH,
        )
        agent.open("", attempt, NoSink())
        session.do_run("0.01")
        engine = session.rig.agents[name].target
        usual = session.rig.parameters
        session.rig.clock.callLater(15.0, setattr, engine, "parameters", usual)


class NoSink:
    """Drops the events of an attempt."""

    def started(self, load: LoadReport) -> None:
        """Ignore the start."""

    def chunk(self, attempt_id: str, index: int, data: bytes) -> None:
        """Ignore a chunk."""

    def ended(self, ended: Ended) -> None:
        """Ignore the end."""
