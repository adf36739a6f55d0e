"""A daemon that stops is idle until its very end."""

import signal
from collections.abc import Callable
from typing import Any
from unittest import mock

import attrs
from testtools import TestCase
from twisted.internet.task import Clock

from sequoiawind import defaults, event_loop
from sequoiawind.daemon import IDLE_CHECK_S, Daemon
from sequoiawind.lifecycle import Phase
from tests.session import Session


@attrs.define(kw_only=True)
class Work:
    """Whether a daemon has work in flight."""

    is_idle: bool = True


class StopTest(TestCase):
    """The end of a daemon's shutdown."""

    def test_work_during_the_last_pause_is_finished(self) -> None:
        clock = Clock()
        work = Work()
        phase = Phase(name="serving")
        with mock.patch.object(event_loop, "reactor", clock):
            daemon = Daemon(phase=phase, is_idle=lambda: work.is_idle)
            daemon.lifecycle.ready()
            daemon.leave()
            clock.advance(0)
            self.assertEqual("draining", phase.name)
            # Something arrives between the check and the end.
            work.is_idle = False
            for _ in range(10):
                clock.advance(IDLE_CHECK_S)
            self.assertEqual("draining", phase.name)
            work.is_idle = True
            for _ in range(3):
                clock.advance(IDLE_CHECK_S)
        self.assertEqual("stopped", phase.name)


class SignalTest(TestCase):
    """A signal that arrives while the event loop is held up."""

    def test_time_held_up_counts_as_time_since_the_signal(self) -> None:
        clock = Clock()
        calls: list[Callable[[], Any]] = []
        reactor = mock.Mock(wraps=clock)
        reactor.callFromThread = lambda function, *args: calls.append(
            lambda: function(*args)
        )
        with mock.patch.object(event_loop, "reactor", reactor):
            daemon = Daemon(
                phase=Phase(name="serving"),
                is_idle=lambda: True,
                balancer_wait_s=lambda: 3.0,
                age_clock=clock.seconds,
            )
            daemon.lifecycle.ready()
            with daemon:
                handler: Any = signal.getsignal(signal.SIGTERM)
                handler(signal.SIGTERM, None)
                clock.advance(0.4)
                calls.pop()()
                self.assertEqual(0.4, daemon.since_signal_s)
                clock.pump([IDLE_CHECK_S] * 53)
                self.assertEqual("draining", daemon.phase.name)


class UnfetchedAnswerTest(TestCase):
    """An agent that stops keeps an answer that its router has yet to fetch."""

    def test_answer_whose_connection_broke(self) -> None:
        session = Session()
        session.do_prompt("q1", "r0", "10", "A briefing.")
        while len(session.callers["q1"].chunks) < 3:
            session.do_run("0.001")
        (agent,) = [
            rig_agent.agent
            for rig_agent in session.rig.agents.values()
            if rig_agent.agent.relays
        ]
        (connection,) = session.router("r0").node.connections
        # The agent notices the break; the router will later.
        connection.far_call.detach()
        agent.stop_admitting()
        session.do_run("1")
        self.assertTrue(agent.is_idle())
        self.assertFalse(agent.may_stop())
        session.do_run(str(defaults.RESUME_KEEP_S))
        self.assertTrue(agent.may_stop())

    def test_answer_that_was_delivered_or_cancelled(self) -> None:
        session = Session()
        session.do_prompt("q1", "r0", "10", "A briefing.")
        session.do_prompt("q2", "r0", "500", "A briefing.")
        session.do_run("1")
        session.do_leave("q2")
        session.do_run("0.1")
        for rig_agent in session.rig.agents.values():
            self.assertTrue(rig_agent.agent.may_stop())
