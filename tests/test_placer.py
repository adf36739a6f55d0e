"""Choice of targets by probes; an exception while placing a request."""

from expression import Ok, Result
from testtools import TestCase
from twisted.internet.defer import Deferred

from sequoiawind import placement
from sequoiawind.blackboard import Blackboard
from sequoiawind.lab.virtual_clock import VirtualClock
from sequoiawind.placement import Candidate
from sequoiawind.placer import ProbingPlacer
from sequoiawind.plan import CallerRequest, Plan
from sequoiawind.state import Account, Kind, Policy, Pool, Route
from sequoiawind.verdict import Reason, not_run
from sequoiawind.wire import LoadReport, Probe, ProbeAnswer
from tests.session import Session

PLAN = Plan(
    request=CallerRequest(
        request_id="q", token="", path="/v1/completions", prompt="x" * 8000
    ),
    account=Account(name="a"),
    route=Route(name="r"),
    kind=Kind(name="k"),
    pool=Pool(name="p"),
    policy=Policy(name="y"),
)


def answer_of(name: str, wait_s: float, hit_tokens: int = 0) -> ProbeAnswer:
    """Return an agent's answer."""
    return ProbeAnswer(
        load=LoadReport(target=name),
        wait_s=wait_s,
        hit_tokens=hit_tokens,
        prefill_token_s=1e-4,
    )


class Port:
    """Answers probes from a table of answers and failures by target.

    A probe of a target whose entry is "silent" is never answered.
    """

    def __init__(self, answers: dict[str, object]) -> None:
        self.answers = answers

    def probe(self, address: str, probe: Probe) -> Deferred:
        """Answer a probe."""
        answer = self.answers[probe.target]
        done: Deferred = Deferred()
        if isinstance(answer, ProbeAnswer):
            done.callback(Ok(answer))
        elif isinstance(answer, Exception):
            done.errback(answer)
        elif answer == "down":
            done.callback(Result.Error(not_run(Reason.CONNECT_FAILED)))
        return done


class ReplanTest(TestCase):
    """Targets are sorted by cost; those without an answer come last."""

    def replanned_order(
        self, answers: dict[str, object], home: str
    ) -> list[str]:
        clock = VirtualClock()
        placer = ProbingPlacer(
            board=Blackboard(), clock=clock, port=Port(answers)
        )
        ranked = [Candidate(name=name, address=name) for name in "abcd"]
        chosen: list[list[placement.Choice]] = []
        placer.replan(
            PLAN, [], ranked, 1, ranked[0], answer_of("a", 0.1)
        ).addCallback(chosen.append)
        clock.advance_to(1.0)
        return [choice.candidate.name for choice in chosen[0]]

    def test_cheapest_first(self) -> None:
        answers = {
            "b": answer_of("b", 3.0),
            "c": answer_of("c", 0.1, hit_tokens=1900),
            "d": answer_of("d", 0.5),
        }
        self.assertEqual(
            ["c", "a", "d", "b"], self.replanned_order(answers, "a")
        )

    def test_silent_and_failing_targets_come_last(self) -> None:
        for bad in ("silent", "down", RuntimeError("broken")):
            for name in "bcd":
                answers: dict[str, object] = {
                    other: answer_of(other, 0.1, 1900) for other in "bcd"
                }
                answers[name] = bad
                order = self.replanned_order(answers, "a")
                self.assertEqual(name, order[-1], (bad, name, order))


class InternalErrorTest(TestCase):
    """An unexpected exception in the router ends the request."""

    def test_caller_gets_a_failure(self) -> None:
        session = Session()
        router = session.rig.routers[0].router

        def fail(plan: Plan) -> Deferred:
            done: Deferred = Deferred()
            done.errback(RuntimeError("broken"))
            return done

        router.placer = type("Broken", (), {"place": staticmethod(fail)})()
        session.do_prompt("q1", "r0", "4", "A briefing.")
        session.do_book("b1", "r0", "k1", "{}")
        session.do_run("3")
        outcome = "may_have_run internal_error, come back after 1.0 s"
        self.assertEqual(
            [f"{name}: 500 {outcome}" for name in ("q1", "b1")],
            session.lines,
        )
        self.assertEqual(0, router.open_requests)
