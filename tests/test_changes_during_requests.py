"""Requests end as they would have, whatever is configured meanwhile."""

from unittest import mock

import attrs
from expression import Ok
from testtools import TestCase
from twisted.internet.defer import Deferred

from sequoiawind.lab.engine_model import EngineModel, Generation
from sequoiawind.lab.memory_network import MemoryEnginePort
from sequoiawind.lab.rig import RigTarget
from sequoiawind.verdict import Reason, Verdict
from sequoiawind.wire import Attempt
from tests.session import Session

ENGINES = ("e1", "e2", "e3")
MORE = ("e4", "e5", "e6")
# Takes about 20 s of virtual time at one engine.
TOKENS = "2000"


def begin(session: Session) -> str:
    """Send a prompt and run until its answer has begun; return its engine."""
    session.do_prompt("q1", "r0", TOKENS, "A briefing.")
    while len(session.callers["q1"].chunks) < 3:
        session.do_run("0.001")
    (name,) = [
        name
        for name, rig_agent in session.rig.agents.items()
        if rig_agent.agent.relays
    ]
    return name


def configure(session: Session, *statements: str) -> None:
    """Run operators' statements, each of which must be accepted."""
    for statement in statements:
        session.do_ops("r0", statement)
        assert "accepted" in session.lines[-2], session.lines


def grow(session: Session) -> None:
    """Add three targets to the pool of engines."""
    for name in MORE:
        session.rig.add_target(RigTarget(name=name, pool="engines"))
        configure(
            session, f"create target {name} with pool = engines, agent = {name}"
        )


class ChangeTest(TestCase):
    """Changes while a prompt is answered."""

    def check_whole(self, session: Session) -> None:
        """Check that the answer is whole."""
        session.do_run("40")
        self.assertIn("whole answer, right", session.lines[-1])

    def test_everything_is_removed(self) -> None:
        session = Session()
        begin(session)
        configure(
            session,
            "delete account nordlys",
            "delete route prompts",
            *(f"delete target {name}" for name in ENGINES),
            "delete pool engines",
            "delete kind prompt",
        )
        self.check_whole(session)

    def test_kind_is_changed(self) -> None:
        session = Session()
        begin(session)
        configure(
            session,
            "set repeat of kind prompt to never",
            "set deadline_s of kind prompt to 1",
            "set max_first_s of kind prompt to 0.01",
        )
        self.check_whole(session)

    def test_engine_is_drained(self) -> None:
        session = Session()
        name = begin(session)
        configure(session, f"drain target {name}")
        self.check_whole(session)

    def test_engine_is_lost_and_the_other_choices_drain(self) -> None:
        session = Session()
        grow(session)
        name = begin(session)
        exchange = session.callers["q1"].active_request.exchange
        for choice in exchange.choices:
            if choice.candidate.name != name:
                configure(session, f"drain target {choice.candidate.name}")
        session.do_crash(name, "30")
        self.check_whole(session)

    def test_all_targets_are_replaced(self) -> None:
        session = Session()
        name = begin(session)
        grow(session)
        configure(
            session,
            *(f"drain target {other}" for other in ENGINES if other != name),
        )
        session.do_crash(name, "30")
        self.check_whole(session)

    def test_all_choices_are_lost(self) -> None:
        session = Session()
        grow(session)
        name = begin(session)
        exchange = session.callers["q1"].active_request.exchange
        for choice in exchange.choices:
            session.do_crash(choice.candidate.name, "60")
        session.do_run("45")
        self.assertIn("whole answer, right", session.lines[-1])
        self.assertNotEqual(name, exchange.current.candidate.name)

    def test_prompt_that_crashes_engines_stays_among_its_choices(self) -> None:
        session = Session()
        grow(session)
        begun: list[str] = []

        def crash(engine: EngineModel, generation: Generation) -> None:
            begun.append(engine.name)
            engine.crash()

        with mock.patch.object(EngineModel, "emit_token", crash):
            session.do_prompt("q1", "r0", TOKENS, "A briefing.")
            exchange = session.callers["q1"].active_request.exchange
            choices = len(exchange.choices)
            session.do_run("30")
        self.assertEqual(choices, len(set(begun)))
        self.assertIn("may_have_run target_lost", session.lines[-1])

    def test_choices_drain_before_the_router_knows(self) -> None:
        session = Session()
        grow(session)
        session.router("r0").follower.is_stopped = True
        session.do_run("2")
        placed = session.router("r0")
        session.do_prompt("q0", "r0", "1", "A briefing.")
        session.do_run("1")
        exchange = session.callers["q0"].active_request.exchange
        for choice in exchange.choices:
            session.do_ops("r1", f"drain target {choice.candidate.name}")
        self.assertNotEqual(
            placed.board.state.revision,
            session.router("r1").board.state.revision,
        )
        session.do_prompt("q0", "r0", "1", "A briefing.")
        session.do_run("5")
        self.assertIn("whole answer, right", session.lines[-1])


class WeightsTest(TestCase):
    """An order to load weights breaks no answer off."""

    def test_prompt_that_begins_while_the_agent_waits_for_a_slot(self) -> None:
        session = Session()
        watchers = [session.rig.agents[name].watcher for name in ENGINES]
        for watcher in watchers:
            watcher.is_stopped = True
        session.do_run("1")
        session.rig.log.latency_s = 1.0
        pool = attrs.evolve(watchers[0].pool(), version="v2", load_slots=3)
        for watcher in watchers:
            Deferred.fromCoroutine(watcher.order(pool))
        session.do_run("0.5")
        home = begin(session)
        session.do_run("25")
        self.assertIn("whole answer, right", session.lines[-1])
        versions = {
            name: session.rig.agents[name].target.version for name in ENGINES
        }
        self.assertEqual("", versions.pop(home))
        self.assertEqual(["v2", "v2"], list(versions.values()))
        # The slot is kept: the order follows once the agent is idle.
        Deferred.fromCoroutine(session.rig.agents[home].watcher.order(pool))
        session.do_run("10")
        self.assertEqual("v2", session.rig.agents[home].target.version)

    def test_agent_admits_nothing_while_the_order_is_answered(self) -> None:
        session = Session()
        watcher = session.rig.agents["e1"].watcher
        answered: Deferred[object] = Deferred()
        with mock.patch.object(
            MemoryEnginePort, "order_version", return_value=answered
        ):
            ordering = Deferred.fromCoroutine(watcher.order(watcher.pool()))
            session.do_run("0.5")
            attempt = Attempt(
                attempt_id="a1",
                request_id="q1",
                account="nordlys",
                kind="prompt",
                target="e1",
                max_first_s=5.0,
                prompt="x",
                max_tokens=1,
            )
            refused = watcher.agent.refusal(attempt)
            self.assertEqual(Reason.WRONG_WEIGHTS, refused.failure.reason)
            self.assertEqual(Verdict.NOT_RUN, refused.failure.verdict)
            answered.callback(Ok(True))
        self.assertTrue(ordering.called)
        self.assertEqual(None, watcher.agent.refusal(attempt))


class ClaimedActionTest(TestCase):
    """Changes while an action waits for its claim."""

    def test_service_is_removed(self) -> None:
        session = Session()
        session.rig.log.latency_s = 4.0
        session.do_book("b1", "r0", "k1", "{}")
        session.rig.log.latency_s = 0.002
        configure(session, "delete target service")
        session.do_run("20")
        self.assertIn("b1: 503 not_run no_target", session.lines[-1])
        session.do_executions("k1")
        self.assertEqual("executed 0 times", session.lines[-1])
