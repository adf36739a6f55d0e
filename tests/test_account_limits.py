"""Rate limits of client accounts over all routers."""

import json
import random
from collections.abc import Callable

from testtools import TestCase

from sequoiawind.forward_state import LimitedAccount
from sequoiawind.lab import limit_model
from sequoiawind.lab.limit_model import LimitModel, limited
from sequoiawind.load import account_limits
from sequoiawind.load.account_bucket import ShareInputs
from sequoiawind.load.account_limits import AccountLimits
from sequoiawind.platform import configuration
from sequoiawind.verdict import Reason, Verdict, forwarded_status

# Bounds of docs/design/load-control.md.
STEADY, MOVING, AFTER_KILL = 0.95, 0.85, 0.7
COST = 9_200.0
RATES = (29_000.0, 240_000.0)
FLEETS = (4, 30, 300)
SEEDS = (1, 2, 3)
KEY = "a:a"


class LimitTest(TestCase):
    """What routers admit together, in the model of the fleet."""

    def played(
        self, routers: int, rate: float, seconds: float = 40.0, **fields: object
    ) -> LimitModel:
        """Return a model after some time; by default 11 routers are in use.

        Accounts with few requests are played longer, as what is served of
        their 3 requests a second varies by a tenth in 30 s.
        """
        if rate == RATES[0]:
            seconds = max(seconds, 100.0)
        fields.setdefault("place", limit_model.anywhere(routers, 11))
        fields.setdefault("demand", lambda _: 2.0 * rate)
        made: Callable[..., LimitModel] = LimitModel
        model = made(routers_count=routers, account=limited(rate), **fields)
        model.run(seconds)
        return model

    def check(
        self, served: float, models: list[LimitModel], since_s: float = 10.0
    ) -> None:
        """Check both bounds: the least of what is served over all seeds."""
        excess = max(model.excess() for model in models)
        parts = [model.served(since_s) for model in models]
        mean = sum(parts) / len(parts)
        case = (models[0].routers_count, models[0].account.rate_per_s)
        self.assertTrue(excess <= 1.0 and mean >= served, (case, excess, parts))

    def test_steady_demand(self) -> None:
        for routers in FLEETS:
            for rate in RATES:
                for part in (0.9, 2.0):
                    models = [
                        self.played(
                            routers,
                            rate,
                            seed=seed,
                            demand=lambda _, d=part * rate: d,
                        )
                        for seed in SEEDS
                    ]
                    self.check(STEADY, models)

    def test_demand_spread_over_all_routers(self) -> None:
        for routers in FLEETS:
            for rate in RATES:
                place = limit_model.anywhere(routers, routers)
                models = [
                    self.played(routers, rate, seed=seed, place=place)
                    for seed in SEEDS
                ]
                self.check(STEADY, models)

    def test_demand_moves_each_second(self) -> None:
        for routers in FLEETS:
            for rate in RATES:
                for part in (0.8, 2.0):
                    models = [
                        self.played(
                            routers,
                            rate,
                            seed=seed,
                            demand=lambda _, d=part * rate: d,
                            place=limit_model.moving(
                                routers, min(11, routers // 2), seed
                            ),
                        )
                        for seed in SEEDS
                    ]
                    self.check(MOVING, models)

    def test_all_demand_moves_to_one_router_each_second(self) -> None:
        for rate in RATES:
            models = [
                self.played(
                    30, rate, seed=seed, place=limit_model.moving(30, 1, seed)
                )
                for seed in SEEDS
            ]
            self.check(MOVING, models)

    def test_seven_times_the_usual_demand(self) -> None:
        for usual in (0.5, 0.7):
            for routers in (4, 30):
                for rate in RATES:
                    self.check_rise(routers, rate, usual)
        for rate in RATES:
            self.check_rise(300, rate, 0.5)

    def test_steep_rise_at_hundreds_of_routers(self) -> None:
        for rate in RATES:
            self.check_rise(300, rate, 0.7)

    def check_rise(self, routers: int, rate: float, usual: float) -> None:
        """Check demand that rises to seven times the usual at 20 s."""
        models = [
            self.played(
                routers,
                rate,
                seed=seed,
                demand=lambda now_s: usual * rate * (7 if now_s > 20 else 1),
                place=limit_model.anywhere(routers, routers),
            )
            for seed in SEEDS
        ]
        # Steady again one window after the rise.
        self.check(STEADY, models, since_s=20.0 + limit_model.WINDOW_S)

    def test_rare_requests_are_served_wherever_they_arrive(self) -> None:
        for routers in FLEETS:
            model = self.played(
                routers,
                RATES[0],
                seconds=600.0,
                demand=lambda _: COST / 10.0,
                place=limit_model.anywhere(routers, routers),
            )
            self.assertTrue(len(model.asked) > 30)
            self.assertEqual(len(model.asked), len(model.granted))

    def test_callers_that_begin_are_served_at_once(self) -> None:
        # Refusals below the limit are lost to callers.
        for rate in RATES:
            models = [
                self.played(
                    30,
                    rate,
                    seed=seed,
                    demand=lambda now_s, r=rate: 0.8 * r if now_s > 10 else 0.0,
                    seconds=14.0,
                )
                for seed in SEEDS
            ]
            self.check(STEADY, models, since_s=10.0)

    def test_lost_late_and_repeated_totals(self) -> None:
        for routers in FLEETS:
            for rate in RATES:
                models = [
                    self.played(
                        routers,
                        rate,
                        seed=seed,
                        lost=0.2,
                        repeated=0.3,
                        late_s=(0.1, 1.0),
                    )
                    for seed in SEEDS
                ]
                self.check(MOVING, models)

    def test_no_totals_at_all(self) -> None:
        for routers in FLEETS:
            model = self.played(routers, RATES[1], lost=1.0)
            self.assertTrue(
                model.excess() <= 1.0,
                (model.routers_count, model.account, model.excess()),
            )
            self.assertTrue(len(model.granted) > 0)

    def test_router_is_cut_off_with_a_large_share(self) -> None:
        def cut(model: LimitModel) -> None:
            model.routers[0].is_cut_off = True

        for rate in RATES:
            # Until the cut one router has all demand, afterwards all have.
            model = self.played(
                30,
                rate,
                place=lambda now_s, rng: (
                    0 if now_s < 10 or rng.random() < 0.5 else rng.randrange(30)
                ),
                events=[(10.0, cut)],
            )
            self.assertTrue(
                model.excess() <= 1.0,
                (model.routers_count, model.account, model.excess()),
            )
            limits = model.routers[0].limits
            share = limits.share(limited(rate), model.now_s)
            self.assertAlmostEqual(account_limits.GUARANTEED_PART / 30, share)

    def test_routers_are_frozen_and_resume(self) -> None:
        def freeze(model: LimitModel) -> None:
            for router in model.routers[:5]:
                router.frozen_until_s = model.now_s + 6.0

        for rate in RATES:
            model = self.played(30, rate, events=[(10.0, freeze)])
            self.assertTrue(
                model.excess() <= 1.0,
                (model.routers_count, model.account, model.excess()),
            )

    def test_routers_are_killed_in_turn(self) -> None:
        def kill(number: int) -> Callable[[LimitModel], None]:
            return lambda model: model.kill(range(number, number + 1))

        for rate in RATES:
            events = [
                (10.0 + 0.7 * number, kill(number)) for number in range(30)
            ]
            models = [
                self.played(30, rate, seed=seed, events=events)
                for seed in SEEDS
            ]
            self.check(MOVING, models)

    def test_all_routers_are_killed(self) -> None:
        for routers in FLEETS:
            for rate in RATES:
                for seed in SEEDS:
                    model = self.played(
                        routers,
                        rate,
                        seed=seed,
                        events=[
                            (12.0, lambda m: m.kill(range(len(m.routers))))
                        ],
                    )
                    served = model.served(12.0, 20.0)
                    self.assertTrue(served >= AFTER_KILL, (routers, served))
                    self.assertTrue(
                        model.excess() <= 1.0,
                        (model.routers_count, model.account, model.excess()),
                    )

    def test_routers_disagree_on_their_number(self) -> None:
        def disagree(model: LimitModel) -> None:
            for router in model.routers:
                router.told_routers = (0, 1, 20, 60)[router.number % 4]

        for rate in RATES:
            models = [
                self.played(30, rate, seed=seed, events=[(0.0, disagree)])
                for seed in SEEDS
            ]
            self.check(STEADY, models)

    def test_changed_limits(self) -> None:
        def change(rate: float) -> Callable[[LimitModel], None]:
            def apply(model: LimitModel) -> None:
                model.account = limited(rate)

            return apply

        for before, after in (RATES, RATES[::-1]):
            model = self.played(
                30,
                before,
                demand=lambda _: 480_000.0,
                events=[(15.0, change(after))],
                seconds=60.0,
            )
            # Binding one window after the change is in force.
            excess = model.excess(15.0 + limit_model.WINDOW_S)
            self.assertTrue(excess <= 1.0, excess)
            served = sum(
                item.cost for item in model.granted if item.time_s >= 20.0
            )
            self.assertTrue(served >= STEADY * after * 40.0, served)


class RouterTest(TestCase):
    """One router's decisions."""

    def setUp(self) -> None:
        super().setUp()
        self.age_s = 0.0
        self.changes: list[tuple[str, float, ShareInputs]] = []
        self.limits = AccountLimits(
            age_clock=lambda: self.age_s,
            random=random.Random(1),
            started_s=0.0,
            on_share_change=lambda *change: self.changes.append(change),
        )
        self.limits.note_routers(10, 0.0)
        self.account = limited(10_000.0)

    def spend(self, now_s: float) -> float:
        """Use all that is admitted; return the Retry-After."""
        for _ in range(100):
            failure = self.limits.admit(self.account, COST, now_s)
            if failure is not None:
                self.assertEqual(429, forwarded_status(failure))
                self.assertIs(Verdict.NOT_RUN, failure.verdict)
                self.assertIs(Reason.RATE_LIMIT, failure.reason)
                assert failure.retry_after_s is not None
                return failure.retry_after_s
        raise AssertionError("no refusal")

    def total(self, stated: float, total: float, as_of_s: float) -> None:
        """Deliver totals."""
        self.limits.take_totals({KEY: total}, {KEY: stated}, as_of_s, as_of_s)

    def test_no_state_without_limits(self) -> None:
        self.limits.take_totals({"p:x": 1.0}, {}, 1.0, 1.0)
        self.limits.give_back("other", 5.0, 1.0)
        self.assertEqual({}, self.limits.statement(2.0))
        self.assertEqual({}, self.limits.buckets)

    def test_retry_after_is_when_there_is_room(self) -> None:
        # An earlier return would be refused again, below the limit.
        retry_s = self.spend(1.0)
        bucket = self.limits.buckets["a"]
        self.assertTrue(bucket.level < 0.0)
        self.limits.refill(bucket, self.account, 1.0 + retry_s + 1e-6)
        self.assertTrue(0.0 <= bucket.level < 1.0, bucket.level)
        self.assertIsNone(
            self.limits.admit(self.account, COST, 1.0 + retry_s + 1e-6)
        )

    def test_refund_of_what_was_not_run(self) -> None:
        self.spend(1.0)
        level = self.limits.buckets["a"].level
        self.limits.give_back("a", COST, 1.0)
        self.assertEqual(
            min(level + COST, self.limits.buckets["a"].capacity),
            self.limits.buckets["a"].level,
        )

    def test_repeats_count_and_may_go_into_debt(self) -> None:
        self.spend(1.0)
        level = self.limits.buckets["a"].level
        self.limits.charge(self.account, COST, 1.0)
        self.assertEqual(level - COST, self.limits.buckets["a"].level)

    def test_share_follows_totals_and_ends_with_them(self) -> None:
        self.limits.admit(self.account, COST, 0.5)
        self.total(300.0, 1_000.0, 1.0)
        self.age_s = 1.0
        self.assertEqual(0.3, self.limits.share(self.account, 1.0))
        # Late and repeated totals are older than those that are known.
        self.total(900.0, 1_000.0, 0.5)
        self.total(900.0, 1_000.0, 1.0)
        self.assertEqual(0.3, self.limits.share(self.account, 1.0))
        # The process was suspended: only this clock went on.
        self.age_s = 3.0
        self.assertEqual(0.02, self.limits.share(self.account, 1.0))

    def test_larger_share_brings_no_burst(self) -> None:
        # Other routers have spent the burst.
        self.limits.admit(self.account, 1.0, 100.0)
        self.age_s = 100.0
        self.limits.take_totals({KEY: 100.0}, {KEY: 1.0}, 100.0, 100.0)
        level = self.limits.buckets["a"].level
        self.limits.take_totals({KEY: 100.0}, {KEY: 90.0}, 100.1, 100.1)
        self.assertTrue(
            self.limits.buckets["a"].level <= level + 100.0,
            self.limits.buckets["a"].level,
        )

    def test_empty_at_start_and_debt_outlasts_smaller_shares(self) -> None:
        self.limits.admit(self.account, 0.0, 0.0)
        self.assertEqual(0.0, self.limits.buckets["a"].level)
        self.total(90.0, 100.0, 1.0)
        self.limits.charge(self.account, 50_000.0, 1.0)
        level = self.limits.buckets["a"].level
        self.total(1.0, 100.0, 1.1)
        self.assertTrue(self.limits.buckets["a"].level < level + 1_000.0)
        self.assertTrue(self.limits.buckets["a"].level < 0.0)

    def test_unused_and_removed_accounts_are_dropped(self) -> None:
        for number in range(100):
            account = LimitedAccount(name=f"n{number}", rate_per_s=9.0, burst=9)
            self.limits.admit(account, 1.0, 0.0)
        self.limits.statement(300.0)
        self.assertEqual({}, self.limits.buckets)
        self.limits.admit(self.account, 1.0, 400.0)
        self.limits.keep_only({"b"})
        self.assertEqual({}, self.limits.buckets)

    def test_share_changes_are_reported_seldom(self) -> None:
        self.limits.admit(self.account, 1.0, 0.0)
        for step in range(40):
            self.age_s = step * 0.1
            stated = 30.0 if step % 2 else 90.0
            self.total(stated, 100.0, self.age_s)
        self.assertTrue(3 <= len(self.changes) <= 4, len(self.changes))
        name, share, inputs = self.changes[-1]
        self.assertEqual("a", name)
        self.assertEqual(share, inputs.stated_per_s / inputs.total_per_s)
        self.assertEqual(10, inputs.routers)

    def test_figures_of_the_largest_accounts(self) -> None:
        for number in range(12):
            account = LimitedAccount(name=f"n{number}", rate_per_s=99, burst=99)
            self.limits.admit(account, float(number), 1.0)
        figures = self.limits.figures()
        self.assertEqual(9, len(figures))
        self.assertEqual(11.0, figures["n11"].asked)
        # The accounts n0 to n3.
        self.assertEqual(6.0, figures[account_limits.OTHERS].asked)


class ConfigurationTest(TestCase):
    """Limits in the operator's configuration."""

    def test_decoded(self) -> None:
        tenants = [
            {"name": "t", "api_keys": ["k"], "rate_per_s": 9, "burst": 5}
            | {"unit": "token_stream", "plain_tokens": 64},
            {"name": "r", "api_keys": ["l"], "rate_per_s": 2, "unit": "x"},
            {"name": "z", "api_keys": ["m"], "rate_per_s": 0, "burst": 3},
            {"name": "n", "api_keys": ["n"]},
        ]
        text = json.dumps({"version": 1, "tenants": tenants}).encode()
        state = configuration.decode_configuration(text)
        found = [item.limit for item in state.accounts.values()]
        by_tokens, by_requests = found[:2]
        self.assertEqual([None, None], found[2:])
        assert by_tokens is not None and by_requests is not None
        self.assertEqual((9.0, 5.0), (by_tokens.rate_per_s, by_tokens.burst))
        self.assertEqual(64.0, by_tokens.cost(None))
        self.assertEqual(500.0, by_tokens.cost(500.0))
        self.assertEqual(1.0, by_requests.cost(500.0))
        self.assertEqual(2.0, by_requests.burst)
