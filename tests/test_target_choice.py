"""Choosing targets for prompts and for calls to plain services."""

from testtools import TestCase

from sequoiawind.fleet import TargetView
from sequoiawind.members import Members
from sequoiawind.prompt_cache import HeldParts, Prompt, PromptPart, cache_salt
from sequoiawind.target_choice import CacheStore, PromptChooser, choose_call
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
        chooser = PromptChooser(held=held, pool=views, now_s=0.0)
        chosen = chooser.choose(views, PROMPT, "a", False, oldest)
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
            chooser = PromptChooser(
                held={}, pool=[view], now_s=0.0, average_prefill_tokens=2_000.0
            )
            self.assertEqual(expected, chooser.backlog_tokens(view))

    def test_newer_weights_are_preferred(self) -> None:
        views = self.views(1, 2, 1)
        chooser = PromptChooser(
            held={}, pool=views, now_s=0.0, newest_version=2
        )
        chosen = chooser.choose(views, PROMPT, "a", False, 0)
        assert chosen is not None
        self.assertEqual("e1", chosen.view.target.name)

    def test_targets_with_too_old_weights_are_left_out(self) -> None:
        views = self.views(1, 2, 1)
        self.assertEqual("e1", self.choose(views, {}, oldest=2))
        self.assertEqual(None, self.choose(views, {}, oldest=3))

    def test_fetches_from_the_target_that_holds_the_parts(self) -> None:
        views = self.views(1, 1)
        salt = cache_salt("a", "m", 1, False)
        held = HeldParts(capacity_tokens=10_000)
        held.sent(salt, PROMPT.parts[:2])
        chooser = PromptChooser(held={"e0": held}, pool=views, now_s=0.0)
        chosen = chooser.choose(views[1:], PROMPT, "a", False, 0)
        assert chosen is not None
        self.assertEqual("e0:80", chosen.source)
        self.assertTrue(chosen.prefill_tokens < PROMPT.tokens)

    def test_fetches_inside_the_failure_domain(self) -> None:
        salt = cache_salt("a", "m", 1, False)
        held = HeldParts(capacity_tokens=10_000)
        held.sent(salt, PROMPT.parts[:2])
        far, near, here = (
            TargetView(target=target(name, "llm", domain=domain))
            for name, domain in (("e0", "d2"), ("e1", "d1"), ("e2", "d1"))
        )
        chooser = PromptChooser(
            held={"e0": held, "e1": held}, pool=[far, near, here], now_s=0.0
        )
        chosen = chooser.choose([here], PROMPT, "a", False, 0)
        assert chosen is not None
        self.assertEqual("e1:80", chosen.source)

    def test_cache_store_completes_what_the_target_holds(self) -> None:
        # The cache store has evicted the first part, which the target holds.
        salt = cache_salt("a", "m", 1, False)
        local = HeldParts(capacity_tokens=10_000)
        local.sent(salt, PROMPT.parts[:1])
        stored = HeldParts(capacity_tokens=10_000)
        stored.sent(salt, PROMPT.parts[1:2])
        views = self.views(1)
        chooser = PromptChooser(
            held={"e0": local},
            cache_store=CacheStore(address="cache-store:1", held=stored),
            pool=views,
            now_s=0.0,
        )
        chosen = chooser.choose(views, PROMPT, "a", False, 0)
        assert chosen is not None
        self.assertEqual("cache-store:1", chosen.source)
        # Fetched parts need not be stored at the cache store again.
        self.assertEqual("", chosen.cache_store)

    def test_cache_store_gets_the_shared_parts_that_are_prefilled(self) -> None:
        salt = cache_salt("a", "m", 1, False)
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
            chooser = PromptChooser(
                held={"e0": local},
                cache_store=CacheStore(address="cache-store:1", held=stored),
                pool=views,
                now_s=0.0,
            )
            chosen = chooser.choose(views, PROMPT, "a", False, 0)
            assert chosen is not None
            self.assertEqual(
                expected, chosen.cache_store, (held_count, stored_count)
            )

    def test_salts_are_shared_only_among_accounts_not_isolated(self) -> None:
        salts = {
            cache_salt(account, model, version, isolated)
            for account in ("a", "b")
            for model in ("m", "n")
            for version in (1, 2)
            for isolated in (False, True)
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
