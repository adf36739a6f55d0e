"""Learned speeds of targets, and the choice of targets by them."""

import math
import random
from functools import cache
from typing import Any

from testtools import TestCase

from sequoiawind.call_choice import choose_call
from sequoiawind.fleet import Fleet, TargetView
from sequoiawind.lab.pace_model import PaceModel, PaceScenario
from sequoiawind.load.target_pace import TargetPaces
from sequoiawind.members import Members
from sequoiawind.prompt_cache import HeldParts, cache_salt
from sequoiawind.spare_targets import SpareLists
from sequoiawind.target_choice import (
    NON_HOME_TOKENS,
    SECOND_HOME_TOKENS,
    Chosen,
    PromptChooser,
    backlog_tokens,
)
from sequoiawind.wire import TargetStatus
from tests.forward_rig import target
from tests.test_target_choice import PROMPT, chooser_of

POOL = "llm"
SEEDS = (1, 2, 3)
# Prompts a second that use 0.85 of the capacity of the model's engines.
RATE_PER_S = 70.0
NAMES = [f"e{number}" for number in range(9)]


def learn(
    paces: TargetPaces,
    slow: dict[str, float],
    start_s: float = 0.0,
    end_s: float = 30.0,
    every_s: float = 0.5,
) -> None:
    """Answer requests to all targets, some of which take longer."""
    rng = random.Random(start_s)
    now_s = start_s
    while now_s < end_s:
        for name in NAMES:
            work = rng.uniform(200.0, 4_000.0)
            seconds = 0.06 + 50e-6 * work * rng.lognormvariate(0.0, 0.2)
            sample = paces.sent(POOL, name, work, now_s)
            paces.began(sample, now_s + seconds * slow.get(name, 1.0))
        paces.factor(POOL, "e0", now_s)
        now_s += every_s


def factors(paces: TargetPaces, now_s: float = 30.0) -> dict[str, float]:
    """Return the factors of all targets."""
    paces.factor(POOL, "e0", now_s)
    return {name: paces.factor(POOL, name, now_s) for name in NAMES}


class LearningTest(TestCase):
    """Factors follow the targets, and nothing but the targets' speed."""

    def test_unequal_targets_have_factors(self) -> None:
        paces = TargetPaces()
        learn(paces, {"e0": 1.0 / 0.6, "e1": 1.0 / 1.6})
        found = factors(paces)
        self.assertTrue(1.4 < found["e0"] < 1.9, found)
        self.assertTrue(0.5 < found["e1"] < 0.75, found)
        self.assertEqual({1.0}, {found[name] for name in NAMES[2:]})

    def test_few_samples_say_little(self) -> None:
        # One slow answer must not drive the load away from a target.
        paces = TargetPaces()
        learn(paces, {}, end_s=3.0)
        sample = paces.sent(POOL, "new", 1_000.0, 3.0)
        paces.began(sample, 3.4)
        self.assertEqual(1.0, paces.factor(POOL, "new", 3.5))

    def test_factors_are_bounded(self) -> None:
        paces = TargetPaces()
        learn(paces, {"e0": 30.0, "e1": 0.01})
        found = factors(paces)
        self.assertEqual((4.0, 0.4), (found["e0"], found["e1"]))

    def test_slow_period_counts_within_a_second_and_not_for_longer(
        self,
    ) -> None:
        paces = TargetPaces()
        learn(paces, {}, every_s=0.25)
        learn(paces, {"e0": 2.5}, start_s=30.0, end_s=30.6, every_s=0.15)
        self.assertTrue(paces.factor(POOL, "e0", 31.0) > 1.25)
        learn(paces, {}, start_s=31.0, end_s=31.6, every_s=0.15)
        self.assertEqual(1.0, paces.factor(POOL, "e0", 31.6))

    def test_requests_that_wait_too_long_count_before_their_answer(
        self,
    ) -> None:
        # A target that has come to a halt answers nothing to learn from.
        paces = TargetPaces()
        learn(paces, {})
        for _ in range(3):
            paces.sent(POOL, "e0", 1_000.0, 30.0)
        self.assertEqual(1.0, paces.factor(POOL, "e0", 30.1))
        self.assertTrue(paces.factor(POOL, "e0", 31.0) > 1.25)
        # The other routers learn of it too.
        stated = paces.statement(31.0)
        self.assertTrue(stated["p:e0:o"] > 1.25 * stated["p:e0:e"], stated)

    def test_quick_errors_do_not_make_a_target_look_fast(self) -> None:
        paces = TargetPaces()
        learn(paces, {})
        for step in range(300):
            now_s = 30.0 + step * 0.01
            paces.dropped(paces.sent(POOL, "e0", 1_000.0, now_s))
            self.assertEqual(1.0, paces.factor(POOL, "e0", now_s))

    def test_new_incarnation_starts_at_the_middle(self) -> None:
        paces = TargetPaces()
        learn(paces, {"e0": 3.0})
        old = paces.statement(30.0)
        self.assertTrue(factors(paces)["e0"] > 2.0)
        late = paces.sent(POOL, "e0", 1_000.0, 30.0)
        paces.forget("e0")
        # Neither a late answer nor late totals are those of the new one.
        paces.began(late, 33.0)
        paces.take_totals(old, {}, 30.5)
        self.assertEqual(1.0, factors(paces, 33.5)["e0"])
        # Totals count again when all routers know the new one.
        paces.take_totals(old, {}, 40.0)
        self.assertEqual(1.0, factors(paces, 40.0)["e0"])
        self.assertTrue(paces.others["e0"][0] > 0.0)

    def test_totals_teach_a_router_that_has_just_started(self) -> None:
        others = TargetPaces()
        learn(others, {"e0": 1.0 / 0.6})
        totals = {key: 9.0 * v for key, v in others.statement(30.0).items()}
        fresh = TargetPaces()
        fresh.take_totals(totals, {}, 30.0)
        factors(fresh, 30.0)
        found = factors(fresh, 30.5)
        self.assertTrue(found["e0"] > 1.25, found)

    def test_own_statement_is_not_counted_twice(self) -> None:
        paces = TargetPaces()
        learn(paces, {})
        stated = paces.statement(30.0)
        paces.take_totals(stated, stated, 30.0)
        self.assertEqual({}, paces.others)

    def test_bad_totals_are_ignored(self) -> None:
        paces = TargetPaces()
        for value in (math.nan, math.inf, -1.0):
            for totals in (
                {"p:e0:e": value, "p:e0:o": 1.0},
                {"p:e0:e": 1.0, "p:e0:o": value},
                {"p:e0:e": 1.0},
            ):
                paces.take_totals(totals, {}, 1.0)
                self.assertEqual({}, paces.others, totals)

    def test_estimates_say_how_far_to_trust_them(self) -> None:
        paces = TargetPaces()
        unknown = paces.expected_s(POOL, "e0", 1_000.0, 0.0)
        self.assertEqual(math.inf, unknown.error_factor)
        learn(paces, {"e0": 1.0 / 0.6})
        found = paces.expected_s(POOL, "e0", 2_000.0, 30.0)
        self.assertTrue(0.2 < found.expected_s < 0.33, found)
        self.assertTrue(1.0 < found.error_factor < 1.5, found)


class EqualPoolTest(TestCase):
    """A pool of equal targets is chosen as without learned speeds."""

    def test_choice_is_identical_on_random_states(self) -> None:
        paces = TargetPaces()
        learn(paces, {})
        rng = random.Random(5)
        salt = cache_salt("a", "m", 1)
        for _ in range(500):
            views = [self.view(rng, name) for name in NAMES]
            held = HeldParts(capacity_tokens=10_000)
            held.sent(salt, PROMPT.parts[: rng.randrange(3)])
            fields: dict[str, Any] = {
                "held": dict.fromkeys(rng.sample(NAMES, 3), held),
                "average_prefill_tokens": rng.uniform(100.0, 4_000.0),
                "spare": rng.sample(NAMES, 2),
            }
            plain = chooser_of(views, **fields)
            paced = chooser_of(
                views,
                **fields,
                factor=lambda view: paces.factor(POOL, view.target.name, 30.0),
            )
            expected = plain.choose(PROMPT, "a")
            self.assertEqual(expected, paced.choose(PROMPT, "a"))
            assert expected is not None
            homes = plain.homes.order(PROMPT.placement_key)[:2]
            self.assertEqual(
                self.cost_without_speeds(plain, expected, homes),
                plain.cost(expected, homes),
            )

    def view(self, rng: random.Random, name: str) -> TargetView:
        view = TargetView(target=target(name, POOL, versions={"m": 1}))
        view.open_requests = rng.randrange(6)
        view.pending_prefills = rng.randrange(4)
        view.pending_prefill_tokens = rng.randrange(9_000)
        view.status = TargetStatus(
            waiting=rng.randrange(4),
            reading=rng.randrange(3),
            running=rng.randrange(20),
        )
        view.status_s = 0.0
        return view

    def cost_without_speeds(
        self, chooser: PromptChooser, option: Chosen, homes: tuple[str, ...]
    ) -> float:
        """Return the cost as it was before speeds were learned."""
        average = chooser.average_prefill_tokens
        cost = float(option.prefill_tokens)
        cost += backlog_tokens(option.view, chooser.now_s, average)
        if option.view.target.name not in homes:
            return cost + NON_HOME_TOKENS
        place = homes.index(option.view.target.name)
        return cost + SECOND_HOME_TOKENS * place

    def assert_equal_choices(self, rate_per_s: float) -> None:
        """Check that equal engines get the same prompts with speeds learned."""
        for seed in SEEDS:
            expected, found = (
                [
                    (item.engine, item.first_s)
                    for item in model_of(
                        speeds=(1.0,),
                        engines_per_speed=12,
                        rate_per_s=rate_per_s,
                        seed=seed,
                        has_pace=has_pace,
                    ).measured
                ]
                for has_pace in (False, True)
            )
            # Not assertEqual, which would print thousands of answers.
            self.assertTrue(expected == found, seed)

    def test_engines_of_equal_speed_keep_the_factor_of_one(self) -> None:
        # Waits behind unknown requests are not taken for slowness.
        self.assert_equal_choices(45.0)

    def test_busy_engines_of_equal_speed_keep_the_factor_of_one(self) -> None:
        # The same where most time is spent waiting, near 0.85 of capacity.
        self.assert_equal_choices(65.0)


class ChoiceTest(TestCase):
    """Targets are chosen by work times factor."""

    def test_spare_targets_are_ordered_by_time(self) -> None:
        fleet = Fleet()
        for number in range(20):
            fleet.put(target(f"e{number:02}", POOL))
            view = fleet.views[f"e{number:02}"]
            view.pending_prefill_tokens = 1_000 + number
        lists = SpareLists(
            fleet=fleet,
            factor=lambda view: 0.5 if view.target.name >= "e12" else 1.0,
        )
        found = lists.targets(POOL, 0.0, 2_000.0).names
        self.assertEqual([f"e{number}" for number in range(12, 20)], [*found])

    def test_a_halted_target_is_avoided_by_short_prompts_too(self) -> None:
        # What favours slow targets for short prompts drew them to a halted one.
        views = [
            TargetView(target=target(name, POOL, versions={"m": 1}))
            for name in NAMES
        ]
        home = chooser_of(views, {}).choose(PROMPT, "a")
        assert home is not None
        paced = chooser_of(
            views,
            {},
            average_prefill_tokens=20_000.0,
            factor=lambda view: 4.0 if view is home.view else 1.0,
        )
        chosen = paced.choose(PROMPT, "a")
        assert chosen is not None
        self.assertNotEqual(home.view, chosen.view)

    def calls(self, rng: random.Random | None, **slow: float) -> list[str]:
        views = [
            TargetView(target=target(name, "plain"))
            for name in ("t1", "t2", "t3")
        ]
        names = []
        for _ in range(60):
            chosen = choose_call(
                views,
                Members(),
                "",
                lambda view: slow.get(view.target.name, 1.0),
                rng,
            )
            assert chosen is not None
            names.append(chosen.view.target.name)
        return names

    def test_calls_keep_their_order_without_speeds(self) -> None:
        self.assertEqual({"t1"}, set(self.calls(None)))

    def test_calls_go_to_the_faster_service(self) -> None:
        rng = random.Random(1)
        self.assertEqual({"t3"}, set(self.calls(rng, t1=1.6, t2=1.6)))

    def test_routers_do_not_all_call_the_same_service(self) -> None:
        found = self.calls(random.Random(1))
        self.assertEqual({"t1", "t2", "t3"}, set(found))


@cache
def model_of(**fields: Any) -> PaceModel:
    """Return a run of the queue model."""
    return PaceModel(scenario=PaceScenario(**fields)).run()


def mean(values: list[float]) -> float:
    """Return the mean."""
    return sum(values) / len(values)


class UnequalEnginesTest(TestCase):
    """Routers before engines of speeds 0.6, 1.0 and 1.6."""

    def runs(self, **fields: Any) -> list[PaceModel]:
        fields = {"rate_per_s": RATE_PER_S} | fields
        return [model_of(seed=seed, **fields) for seed in SEEDS]

    def first_s(self, runs: list[PaceModel], *span_s: float) -> float:
        return mean([run.first_s(0.95, *span_s) for run in runs])

    def test_engines_are_used_evenly(self) -> None:
        # The choice that does not know speeds leaves 13 points between them.
        runs = self.runs()
        used = mean([run.capacity_used() for run in runs])
        self.assertTrue(0.83 < used < 0.88, used)
        slow, fast = (
            mean([run.utilisation(speed) for run in runs])
            for speed in (0.6, 1.6)
        )
        self.assertTrue(abs(slow - fast) <= 0.05, (slow, fast))

    def test_slowest_answers_begin_a_quarter_earlier(self) -> None:
        blind_s = self.first_s(self.runs(has_pace=False))
        found_s = self.first_s(self.runs())
        self.assertTrue(found_s <= 0.75 * blind_s, (found_s, blind_s))

    def test_slow_periods_do_no_harm(self) -> None:
        fields = {"has_slow_periods": True, "rate_per_s": 60.0}
        blind_s = self.first_s(self.runs(has_pace=False, **fields))
        found_s = self.first_s(self.runs(**fields))
        self.assertTrue(found_s <= blind_s, (found_s, blind_s))

    def test_restart_of_all_routers_is_no_worse_than_not_knowing(self) -> None:
        span_s = (30.0, 45.0)
        blind = self.runs(has_pace=False, restart_s=30.0)
        found = self.runs(restart_s=30.0)
        found_s = self.first_s(found, *span_s)
        blind_s = self.first_s(blind, *span_s)
        self.assertTrue(found_s <= blind_s, (found_s, blind_s))

    def test_quick_errors_do_not_draw_prompts(self) -> None:
        # The slowest engine, which answers half of them with quick errors.
        for run in self.runs(error_share=0.5, rate_per_s=55.0):
            found = [factor for _, factor in run.factors]
            self.assertTrue(min(found) >= 1.0, found)
