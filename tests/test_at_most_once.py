"""At-most-once execution with a fault at every moment of an action.

An action takes about 25 ms of virtual time from its arrival to its answer:
claim, read-back, agent, service, outcome.  Each fault is injected at each
millisecond; then the caller submits the same key through the other router
three more times.
"""

from collections.abc import Callable

from testtools import TestCase

from sequoiawind import invariants
from tests.session import Session

MOMENTS_MS = range(0, 34)


def kill_router(session: Session) -> None:
    """Kill the router and start another in its place."""
    session.do_kill("r0")
    session.do_run("0.5")
    session.do_restart("r0")


def pause_router(session: Session) -> None:
    """Pause the router past every timeout."""
    session.do_pause("r0")
    session.do_run("70")
    session.do_resume("r0")


def kill_agent(session: Session) -> None:
    """Kill the agent and start another in its place."""
    session.do_kill("agent-service")
    session.do_run("0.5")
    session.do_restart("agent-service")


def pause_agent(session: Session) -> None:
    """Pause the agent past every timeout."""
    session.do_pause("agent-service")
    session.do_run("70")
    session.do_resume("agent-service")


def crash_service(session: Session) -> None:
    """Crash the service for 0.5 s."""
    session.do_crash("service", "0.5")


def log_outage(session: Session) -> None:
    """Make the log unavailable for 5 s."""
    session.do_log("down")
    session.do_run("5")
    session.do_log("up")


def lose_log_answers(session: Session) -> None:
    """Make the log lose all its answers for 5 s."""
    session.do_log("loses")
    session.do_run("5")
    session.do_log("up")


def kill_both_routers(session: Session) -> None:
    """Kill both routers at the same time and restart them."""
    for name in ("r0", "r1"):
        session.do_kill(name)
    session.do_run("0.5")
    for name in ("r0", "r1"):
        session.do_restart(name)


FAULTS: tuple[Callable[[Session], None], ...] = (
    kill_router,
    pause_router,
    kill_agent,
    pause_agent,
    crash_service,
    log_outage,
    lose_log_answers,
    kill_both_routers,
)


class EveryMomentTest(TestCase):
    """No action runs twice, or runs although its verdict is `not_run`.

    Nor is an action reported as done that has not run.
    """

    def check(self, fault: Callable[[Session], None], moment_ms: int) -> None:
        where = f"{fault.__name__} at {moment_ms} ms"
        session = Session()
        session.do_book("b0", "r0", "k", "{}")
        session.do_run(str(moment_ms / 1000.0))
        fault(session)
        session.do_run("3")
        for number in range(1, 4):
            session.do_book(f"b{number}", "r1", "k", "{}")
            session.do_run("5")
        service = session.rig.agents["service"].target
        key = f"nordlys/{session.keys['k']}"
        self.assertTrue(service.by_key[key] <= 1, where)
        for name, caller in session.callers.items():
            if caller.end is None:
                continue
            answer = caller.describe_result(caller.end)
            if " not_run " in answer:
                self.assertEqual(0, service.by_request[name], (where, answer))
            if answer.endswith(" done"):
                self.assertEqual(1, service.by_key[key], (where, answer))
        self.assertEqual([], invariants.violations)

    def test_every_fault_at_every_moment(self) -> None:
        invariants.violations.clear()
        for fault in FAULTS:
            for moment_ms in MOMENTS_MS:
                self.check(fault, moment_ms)

    def test_key_used_at_two_routers_runs_once(self) -> None:
        for moment_ms in MOMENTS_MS:
            session = Session()
            session.do_book("b0", "r0", "k", "{}")
            session.do_run(str(moment_ms / 1000.0))
            session.do_book("b1", "r1", "k", "{}")
            session.do_run("3")
            service = session.rig.agents["service"].target
            key = f"nordlys/{session.keys['k']}"
            self.assertEqual(1, service.by_key[key])
