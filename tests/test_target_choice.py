"""Choosing targets for prompts and for calls to plain services."""

from typing import Any

import attrs
from testtools import TestCase

from sequoiawind.call_choice import choose_call
from sequoiawind.fleet import TargetView
from sequoiawind.forward_state import ForwardState
from sequoiawind.home_order import HomeOrder
from sequoiawind.members import Members
from sequoiawind.prompt_cache import (
    HeldParts,
    PartIndex,
    Prompt,
    PromptPart,
    cache_salt,
)
from sequoiawind.target_choice import (
    CacheStore,
    Chosen,
    PromptChooser,
)
from sequoiawind.wire import TargetStatus
from tests.forward_rig import target

PROMPT = Prompt(
    model="m",
    tokens=3_000,
    max_tokens=10,
    parts=(
        PromptPart(id="a", tokens=1_000),
        PromptPart(id="b", tokens=1_500),
        PromptPart(id="own", tokens=500),
    ),
)


def chooser_of(
    views: list[TargetView], held: dict[str, HeldParts], **fields: Any
) -> PromptChooser:
    """Return a chooser for targets, and for caches by their names."""
    index = PartIndex()
    for name, parts in held.items():
        for key, tokens in parts.parts.items():
            index.put(key, name, tokens)
    homes = HomeOrder()
    homes.set_members(view.target.name for view in views)
    return PromptChooser(
        index=index,
        homes=homes,
        pool={view.target.name: view for view in views},
        now_s=0.0,
        **fields,
    )


def others_of(views: list[TargetView], *able: TargetView) -> list[str]:
    """Return the names of the targets that are not among the able ones."""
    return [view.target.name for view in views if view not in able]


class ChoiceTest(TestCase):
    """Prompts go to the cheapest target with weights that are new enough."""

    def views(self, *versions: int) -> list[TargetView]:
        return [
            TargetView(target=target(f"e{number}", "llm", versions={"m": item}))
            for number, item in enumerate(versions)
        ]

    def choose(
        self,
        views: list[TargetView],
        held: dict[str, HeldParts],
        oldest: int = 0,
    ) -> str | None:
        chooser = chooser_of(views, held)
        chosen = chooser.choose(PROMPT, "a", oldest)
        return chosen.view.target.name if chosen else None

    def test_home_does_not_depend_on_the_order_of_targets(self) -> None:
        self.assertEqual(
            self.choose(self.views(1, 1, 1), {}),
            self.choose(list(reversed(self.views(1, 1, 1))), {}),
        )

    def test_busy_home_is_avoided(self) -> None:
        views = self.views(1, 1, 1)
        home = self.choose(views, {})
        for view in views:
            if view.target.name == home:
                view.status = TargetStatus(waiting=20, running=60)
                view.status_s = 0.0
        self.assertNotEqual(home, self.choose(views, {}))

    def test_target_with_silent_agent_is_avoided(self) -> None:
        views = self.views(1, 1, 1)
        home = self.choose(views, {})
        for view in views:
            if view.target.name == home:
                view.status = TargetStatus()
                view.status_s = -5.0
        self.assertNotEqual(home, self.choose(views, {}))

    def test_backlog_counts_prompts_in_prefill(self) -> None:
        # Prompts that this router sent are known, and not counted twice.
        for reading, sent, sent_tokens, expected in (
            (0, 0, 0, 0.0),
            (3, 0, 0, 6_000.0),
            (3, 3, 900, 900.0),
            (4, 3, 900, 2_900.0),
        ):
            (view,) = self.views(1)
            view.status = TargetStatus(reading=reading)
            view.status_s = 0.0
            view.pending_prefills = sent
            view.pending_prefill_tokens = sent_tokens
            chooser = chooser_of([view], {}, average_prefill_tokens=2_000.0)
            self.assertEqual(expected, chooser.backlog_tokens(view))

    def test_newer_weights_are_preferred(self) -> None:
        views = self.views(1, 2, 1)
        chooser = chooser_of(views, {}, newest_version=2)
        chosen = chooser.choose(PROMPT, "a")
        assert chosen is not None
        self.assertEqual("e1", chosen.view.target.name)

    def test_targets_with_too_old_weights_are_left_out(self) -> None:
        views = self.views(1, 2, 1)
        self.assertEqual("e1", self.choose(views, {}, oldest=2))
        self.assertEqual(None, self.choose(views, {}, oldest=3))

    def test_fetches_from_the_target_that_holds_the_parts(self) -> None:
        views = self.views(1, 1)
        salt = cache_salt("a", "m", 1)
        held = HeldParts(capacity_tokens=10_000)
        held.sent(salt, PROMPT.parts[:2])
        chooser = chooser_of(views, {"e0": held})
        chosen = chooser.choose(PROMPT, "a", excluded=["e0"])
        assert chosen is not None
        self.assertEqual("e0:80", chosen.source)
        self.assertTrue(chosen.prefill_tokens < PROMPT.tokens)

    def test_fetches_inside_the_failure_domain(self) -> None:
        salt = cache_salt("a", "m", 1)
        held = HeldParts(capacity_tokens=10_000)
        held.sent(salt, PROMPT.parts[:2])
        far, near, here = (
            TargetView(target=target(name, "llm", domain=domain))
            for name, domain in (("e0", "d2"), ("e1", "d1"), ("e2", "d1"))
        )
        views = [far, near, here]
        chooser = chooser_of(views, {"e0": held, "e1": held})
        chosen = chooser.choose(PROMPT, "a", excluded=others_of(views, here))
        assert chosen is not None
        self.assertEqual("e1:80", chosen.source)

    def test_few_of_many_targets_are_compared(self) -> None:
        # Comparing each target with all others took 29 ms for 78 targets.
        compared: list[str] = []
        original = PromptChooser.option

        def option(
            chooser: PromptChooser, view: TargetView, *rest: Any
        ) -> Chosen:
            compared.append(view.target.name)
            return original(chooser, view, *rest)

        self.patch(PromptChooser, "option", option)
        views = self.views(*[1] * 300)
        salt = cache_salt("a", "m", 1)
        held = HeldParts(capacity_tokens=10_000)
        held.sent(salt, PROMPT.parts[:2])
        names = [view.target.name for view in views[100:200]]
        chooser = chooser_of(
            views, dict.fromkeys(names, held), spare=["e7", "e8"]
        )
        chosen = chooser.choose(PROMPT, "a")
        assert chosen is not None
        self.assertTrue(len(compared) <= 10, compared)
        self.assertTrue({"e7", "e8"} < set(compared))
        self.assertTrue(set(compared) & set(names))

    def test_any_target_is_chosen_if_no_candidate_takes_work(self) -> None:
        views = self.views(*[1] * 40)
        for view in views[:-1]:
            view.shed_until_s = 1.0
        self.assertEqual("e39", self.choose(views, {}))

    def test_homes_stay_while_a_target_joins(self) -> None:
        # Only the prompts of which the new target is a home may move.
        before, after = HomeOrder(), HomeOrder()
        names = [f"e{number}" for number in range(20)]
        before.set_members(names)
        after.set_members([*names, "new"])
        for number in range(200):
            key = f"part{number}"
            order = [name for name in after.order(key) if name != "new"]
            self.assertEqual(list(before.order(key))[: len(order)], order, key)

    def test_cache_store_completes_what_the_target_holds(self) -> None:
        # The cache store has evicted the first part, which the target holds.
        salt = cache_salt("a", "m", 1)
        local = HeldParts(capacity_tokens=10_000)
        local.sent(salt, PROMPT.parts[:1])
        stored = HeldParts(capacity_tokens=10_000)
        stored.sent(salt, PROMPT.parts[1:2])
        views = self.views(1)
        chooser = chooser_of(
            views,
            {"e0": local, "kept": stored},
            cache_stores=[CacheStore(name="kept", address="cache-store:1")],
        )
        chosen = chooser.choose(PROMPT, "a")
        assert chosen is not None
        self.assertEqual("cache-store:1", chosen.source)
        # Fetched parts need not be stored at the cache store again.
        self.assertEqual("", chosen.cache_store)

    def test_cache_store_gets_the_shared_parts_that_are_prefilled(self) -> None:
        salt = cache_salt("a", "m", 1)
        views = self.views(1)
        # How many parts the target holds, and how many the cache store.
        for held_count, stored_count, expected in (
            (0, 0, "cache-store:1"),
            (1, 0, "cache-store:1"),
            (2, 0, ""),
            (0, 1, "cache-store:1"),
            (0, 2, ""),
        ):
            local = HeldParts(capacity_tokens=10_000)
            local.sent(salt, PROMPT.parts[:held_count])
            stored = HeldParts(capacity_tokens=10_000)
            stored.sent(salt, PROMPT.parts[:stored_count])
            chooser = chooser_of(
                views,
                {"e0": local, "kept": stored},
                cache_stores=[CacheStore(name="kept", address="cache-store:1")],
            )
            chosen = chooser.choose(PROMPT, "a")
            assert chosen is not None
            self.assertEqual(
                expected, chosen.cache_store, (held_count, stored_count)
            )

    def test_cache_stores_share_the_prompts(self) -> None:
        # All prompts went to the first store, which evicted them before their
        # next use while the others stood empty.
        stores = [
            CacheStore(name=name, address=f"{name}:1") for name in ("k1", "k2")
        ]
        kept: dict[str, set[str]] = {}
        for number in range(40):
            prompt = attrs.evolve(
                PROMPT,
                parts=(
                    PROMPT.parts[0],
                    PromptPart(id=f"b{number}", tokens=1_500),
                    PROMPT.parts[2],
                ),
            )
            for given in (stores, stores[::-1]):
                chooser = chooser_of(self.views(1), {}, cache_stores=given)
                chosen = chooser.choose(prompt, "a")
                assert chosen is not None
                kept.setdefault(prompt.placement_key, set()).add(
                    chosen.cache_store
                )
        self.assertTrue(all(len(item) == 1 for item in kept.values()))
        self.assertEqual(
            {"k1:1", "k2:1"}, {next(iter(item)) for item in kept.values()}
        )

    def test_fetches_from_any_cache_store_that_holds_the_parts(self) -> None:
        salt = cache_salt("a", "m", 1)
        stored = HeldParts(capacity_tokens=10_000)
        stored.sent(salt, PROMPT.parts[:2])
        stores = [
            CacheStore(name=name, address=f"{name}:1") for name in ("k1", "k2")
        ]
        for name in ("k1", "k2"):
            chooser = chooser_of(
                self.views(1), {name: stored}, cache_stores=stores
            )
            chosen = chooser.choose(PROMPT, "a")
            assert chosen is not None
            self.assertEqual(f"{name}:1", chosen.source)

    def test_salts_are_shared_only_among_accounts_not_isolated(self) -> None:
        states = [
            ForwardState(isolated_accounts=frozenset(names))
            for names in ((), ("a", "b"))
        ]
        salts = {
            cache_salt(state.cache_scope_of(account), model, version)
            for account in ("a", "b")
            for model in ("m", "n")
            for version in (1, 2)
            for state in states
        }
        # 4 salts shared by accounts that are not isolated, and 8 of isolated
        # accounts.
        self.assertEqual(12, len(salts))

    def test_calls_avoid_failing_targets(self) -> None:
        members = Members()
        views = [TargetView(target=target(name)) for name in ("t1", "t2")]
        for _ in range(5):
            members.health_of("t1").note_outcome(True)
        chosen = choose_call(views, members, "")
        assert chosen is not None
        self.assertEqual("t2", chosen.view.target.name)
