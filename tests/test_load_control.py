"""Load control at a router, from a request's arrival to its end."""

import random
from collections.abc import Sequence

import attrs
from testtools import TestCase

from sequoiawind.forward_state import ForwardAccount, LimitedAccount
from sequoiawind.load.account_limits import AccountLimits
from sequoiawind.load.admission import (
    Action,
    Admission,
    AdmissionRequest,
    Decision,
)
from sequoiawind.load.controller import LoadController, make_controller
from sequoiawind.load.estimate import Estimate
from sequoiawind.load.fair_order import FairOrder
from sequoiawind.load.target_pace import TargetPaces
from sequoiawind.options import LoadOptions
from sequoiawind.tokens import token_digest
from sequoiawind.verdict import Reason, may_have_run, not_run
from tests.forward_rig import KEY, KINDS, ForwardRig, state, target

# Cost of a request of the rig with a prompt: 300 tokens and 10 of the answer.
COST = 310.0
LOST = may_have_run(Reason.CONNECTION_LOST, "lost")
BUSY = not_run(Reason.TARGET_BUSY, "busy")


def rig_with_load(rate_per_s: float = 0.0) -> ForwardRig:
    """Return a router with all parts on, which limits its account or not."""
    rig = ForwardRig()
    rig.forwarder.load = LoadController(
        limits=AccountLimits(
            age_clock=rig.clock.seconds,
            random=random.Random(1),
            started_s=rig.clock.seconds(),
        ),
        paces=TargetPaces(),
        admission=Admission(random=random.Random(1)),
        order=FairOrder(),
    )
    limit = None
    if rate_per_s:
        limit = LimitedAccount(name="a", rate_per_s=rate_per_s, burst=COST)
    account = ForwardAccount(
        name="a", token_digest=token_digest(KEY), limit=limit
    )
    new = state(revision=2, accounts={"a/0": account})
    rig.configure(new)
    rig.forwarder.load.configured(new)
    rig.add(*(target(f"e{n}", "llm") for n in range(2)))
    return rig


def spent(rig: ForwardRig) -> float:
    """Return the tokens that the account was charged for."""
    limits = rig.forwarder.load.limits
    assert limits is not None
    return limits.buckets["a"].counts.granted


class RefusingAdmission(Admission):
    """Admission control that refuses every request."""

    def decide(
        self,
        request: AdmissionRequest,
        options: Sequence[Estimate],
        now_s: float,
    ) -> Decision:
        """Refuse a request."""
        failure = not_run(Reason.OVERLOADED, "busy", 0.1)
        return Decision(action=Action.REFUSE, failure=failure)


def refuse_all(rig: ForwardRig) -> None:
    """Let admission control refuse every request."""
    rig.forwarder.load.admission = RefusingAdmission(random=random.Random(1))


class LoadControlTest(TestCase):
    """Each test guards against one failure of the integration."""

    def test_nothing_runs_where_nothing_calls_for_it(self) -> None:
        # Earlier deployments are served as before.
        rig = rig_with_load()
        for _ in range(50):
            rig.submit("draft")
            rig.port.sent[-1].answer(200)
            rig.advance(0.05)
        load = rig.forwarder.load
        assert load.limits is not None and load.admission is not None
        self.assertFalse(load.is_active("llm"))
        self.assertEqual({}, load.statement(rig.clock.seconds()))
        self.assertEqual({}, load.limits.buckets)
        self.assertEqual({}, load.admission.pools)

    def test_parts_that_settings_leave_off_do_not_exist(self) -> None:
        made = make_controller(
            LoadOptions(), random.Random(1), lambda: 0.0, 0.0
        )
        self.assertEqual(
            [None] * 4,
            [made.limits, made.paces, made.admission, made.order],
        )

    def test_objective_shorter_than_the_age_of_a_status(self) -> None:
        # Such prompts are late before a router learns of the work they met.
        kinds = {
            name: attrs.evolve(kind, aim_s=0.3) for name, kind in KINDS.items()
        }
        load = LoadController()
        load.configured(state())
        self.assertFalse(load.is_active("llm"))
        load.configured(state(kinds=kinds))
        self.assertTrue(load.is_active("llm"))
        self.assertFalse(load.is_active("app"))

    def test_request_above_the_limit_is_not_sent(self) -> None:
        rig = rig_with_load(rate_per_s=1.0)
        rig.submit("draft")
        caller = rig.submit("draft")
        assert caller.failure is not None
        self.assertEqual(Reason.RATE_LIMIT, caller.failure.reason)
        self.assertGreater(caller.failure.retry_after_s, 0.0)
        self.assertLess(len(rig.port.sent), 2)

    def test_run_that_a_target_refused_is_not_charged(self) -> None:
        rig = rig_with_load(rate_per_s=100_000.0)
        rig.advance(1.0)
        rig.submit("draft")
        self.assertEqual(COST, spent(rig))
        for sent in list(rig.port.sent):
            sent.answer(503, refusal=BUSY)
        rig.advance(4.0)
        for sent in rig.port.sent[1:]:
            sent.answer(503, refusal=BUSY)
        rig.advance(4.0)
        self.assertEqual(0, rig.forwarder.open_requests)
        self.assertEqual(0.0, spent(rig))

    def test_second_run_of_a_resumed_stream_is_charged(self) -> None:
        rig = rig_with_load(rate_per_s=100_000.0)
        rig.advance(1.0)
        rig.submit("draft")
        rig.port.sent[0].begin(200, b"id: 1\ndata: x\n\n")
        rig.port.sent[0].sink.failed(LOST)
        self.assertEqual(2, len(rig.port.sent))
        self.assertEqual(2 * COST, spent(rig))

    def test_request_that_admission_refuses_is_not_charged(self) -> None:
        rig = rig_with_load(rate_per_s=100_000.0)
        rig.advance(1.0)
        refuse_all(rig)
        caller = rig.submit("draft")
        assert caller.failure is not None
        self.assertEqual(Reason.OVERLOADED, caller.failure.reason)
        self.assertEqual([], rig.port.sent)
        self.assertEqual(0.0, spent(rig))

    def test_accepted_stream_is_never_refused_for_overload(self) -> None:
        rig = rig_with_load(rate_per_s=100_000.0)
        rig.advance(1.0)
        caller = rig.submit("draft")
        rig.port.sent[0].begin(200, b"id: 1\ndata: x\n\n")
        refuse_all(rig)
        rig.port.sent[0].sink.failed(LOST)
        self.assertIsNone(caller.failure)
        self.assertEqual(2, len(rig.port.sent))

    def test_quick_errors_do_not_make_a_target_look_fast(self) -> None:
        rig = rig_with_load(rate_per_s=100_000.0)
        rig.add(target("t0"))
        rig.advance(1.0)
        rig.submit("book")
        rig.port.sent[-1].answer(500, b"bad")
        paces = rig.forwarder.load.paces
        assert paces is not None
        self.assertEqual(0, paces.pools["app"].model.samples)

    def test_new_incarnation_is_not_known(self) -> None:
        rig = rig_with_load(rate_per_s=100_000.0)
        rig.advance(1.0)
        rig.submit("draft")
        name = rig.port.sent[0].order.target.name
        rig.forwarder.incarnation_began(name)
        paces = rig.forwarder.load.paces
        assert paces is not None
        self.assertNotIn(name, paces.pools["llm"].targets)
