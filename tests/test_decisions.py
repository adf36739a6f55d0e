"""Placement, sharing, membership, limits, retries, admission, cache index."""

import random

from testtools import TestCase

from sequoiawind import placement, prefix, retries, settings
from sequoiawind.admission import FairQueue, Job
from sequoiawind.cache_index import (
    CacheEvent,
    CacheEvents,
    CacheIndex,
    CacheList,
)
from sequoiawind.limits import AccountLimits
from sequoiawind.members import Members, TargetState, VmState
from sequoiawind.options import RouterSettings
from sequoiawind.placement import Candidate
from sequoiawind.retries import RetryBudgets
from sequoiawind.sharing import SharingTracker
from sequoiawind.state import Account, State, Target
from sequoiawind.verdict import Reason, may_have_run, not_run
from sequoiawind.wire import LoadReport
from tests import cases


class PlacementTest(TestCase):
    """Rendezvous order moves no more keys than needed."""

    def candidates(self, count: int) -> list[Candidate]:
        return [
            Candidate(name=f"e{number}", address="") for number in range(count)
        ]

    def first_targets(self, count: int) -> list[str]:
        return [
            placement.rank(key, self.candidates(count))[0].name
            for key in range(2000)
        ]

    def test_adding_a_target_moves_only_its_share(self) -> None:
        before, after = self.first_targets(9), self.first_targets(10)
        moved = [
            new for old, new in zip(before, after, strict=True) if old != new
        ]
        self.assertEqual({"e9"}, set(moved))
        self.assertTrue(100 < len(moved) < 300, len(moved))

    def test_order_of_candidates_does_not_matter(self) -> None:
        candidates = self.candidates(9)
        self.assertEqual(
            placement.rank(5, candidates),
            placement.rank(5, candidates[::-1]),
        )


class PrefixTest(TestCase):
    """Prompts share hashes exactly where they share prefixes."""

    def test_hashes_differ_from_the_first_different_block(self) -> None:
        one = prefix.chain("s", b"a" * 3000 + b"b" * 2000)
        two = prefix.chain("s", b"a" * 3000 + b"c" * 2000)
        self.assertEqual(one[:2], two[:2])
        self.assertEqual([], [key for key in one[2:] if key in two])

    def test_accounts_and_versions_share_no_hashes(self) -> None:
        salts = {
            prefix.cache_salt(account, "m", "", version)
            for account in ("a", "b")
            for version in ("1", "2")
        }
        chains = [prefix.chain(salt, b"x" * 5000) for salt in salts]
        self.assertEqual(4, len({chain[0] for chain in chains}))


class SharingTest(TestCase):
    """Prompts are placed by the shallowest prefix one target can carry."""

    def test_overloaded_prefix_is_split(self) -> None:
        tracker = SharingTracker()
        depths = [
            tracker.choose([1, 10 + number % 8], number * 0.1, 5, 0).depth
            for number in range(400)
        ]
        self.assertEqual(1, depths[0])
        self.assertEqual(2, depths[-1])

    def test_overloaded_prompt_is_spread(self) -> None:
        tracker = SharingTracker()
        for number in range(400):
            chosen = tracker.choose([1, 2], number * 0.1, 5, 0)
        self.assertEqual(4, chosen.holders)

    def test_routers_agree_on_shares(self) -> None:
        keys = []
        for start in (0, 1):
            tracker = SharingTracker()
            source = random.Random(start)
            for number in range(2000):
                account = source.choice((1, 1, 1, 2, 3, 4, 5, 6))
                chain = [account, account * 100 + source.randrange(9)]
                tracker.choose(chain, number * 0.05, 5, 0)
            keys.append(
                [
                    tracker.choose([account, account * 100], 100.0, 5, 0).key
                    for account in range(1, 7)
                ]
            )
        self.assertEqual(keys[0], keys[1])

    def test_counts_are_bounded(self) -> None:
        tracker = SharingTracker(capacity=50)
        for number in range(500):
            tracker.choose([number], 0.0, 5, 0)
        self.assertEqual(50, len(tracker.prefixes))


class MembersTest(TestCase):
    """Candidates and states follow from all sources of membership."""

    def setUp(self) -> None:
        super().setUp()
        self.state = State(
            targets={
                name: Target(name=name, pool="p", vm=f"vm-{name}")
                for name in "abcd"
            }
        )
        self.members = Members()

    def names(self, now_s: float = 0.0) -> str:
        found = self.members.candidates(self.state, "p", now_s)
        return "".join(sorted(item.name for item in found))

    def test_leaving_vm_gets_no_new_work(self) -> None:
        self.members.vms = {"vm-a": VmState.LEAVING}
        self.assertEqual("bcd", self.names())

    def test_list_in_which_all_leave_does_not_empty_a_pool(self) -> None:
        self.members.vms = {f"vm-{name}": VmState.LEAVING for name in "abcd"}
        self.assertEqual("abcd", self.names())

    def test_draining_agent_gets_no_new_work(self) -> None:
        self.members.update_load(LoadReport(target="a", draining=True), 0.0)
        self.assertEqual("bcd", self.names(1.0))
        self.assertEqual("abcd", self.names(60.0))

    def test_failing_target_is_ejected_and_tried_again(self) -> None:
        for _ in range(3):
            self.members.record_failure("a", 0.0)
        self.assertEqual("bcd", self.names(0.5))
        self.assertEqual("abcd", self.names(1.5))
        self.members.record_failure("a", 1.5)
        self.assertEqual("bcd", self.names(3.0))
        self.members.record_success("a")
        self.assertEqual("abcd", self.names(3.0))

    def test_at_most_half_is_ejected(self) -> None:
        for name in "abcd":
            for _ in range(3):
                self.members.record_failure(name, 0.0)
        self.assertEqual(2, len(self.names(0.5)))

    def test_target_states(self) -> None:
        self.members.update_load(LoadReport(target="a", running=2), 0.0)
        for _ in range(3):
            self.members.record_failure("b", 0.0)
        self.members.vms = {"vm-c": VmState.LEAVING}
        states = [
            self.members.state_of(target, 0.5)
            for target in self.state.targets.values()
        ]
        self.assertEqual(
            [
                TargetState.RUNNING,
                TargetState.STUCK,
                TargetState.DRAINING,
                TargetState.WARM,
            ],
            states,
        )


class LimitsTest(TestCase):
    """Rate and concurrency limits hold over several routers."""

    def admitted_share(self, skew: tuple[float, ...], kill_s: float) -> float:
        """Return the admitted rate as a share of the limit.

        Three routers get requests at four times the limit, in proportions
        `skew`; at `kill_s` the first of them restarts without its state.
        """
        account = Account(name="a", rate_per_s=50.0)
        count = len(skew)
        routers = [AccountLimits(routers=count) for _ in range(count)]
        source = random.Random(1)
        admitted = 0
        for step in range(6000):
            now_s = step * 0.01
            for _ in range(2):
                number = source.choices(range(count), skew)[0]
                if routers[number].admit(account, now_s) is None:
                    routers[number].release("a")
                    admitted += now_s >= 20.0
            if step % 100 == 0:
                demands = [router.end_period() for router in routers]
                for receiver, router in enumerate(routers):
                    for other, demand in enumerate(demands):
                        if other != receiver:
                            router.record_peer_demand(str(other), demand, now_s)
            if now_s == kill_s:
                routers[0] = AccountLimits(routers=count)
        return admitted / (40.0 * 50.0)

    def test_within_a_tenth_of_the_limit(self) -> None:
        for skew in ((1.0, 1.0, 1.0), (8.0, 1.0, 1.0), (1.0, 0.0, 0.0)):
            for kill_s in (-1.0, 30.0):
                share = self.admitted_share(skew, kill_s)
                self.assertTrue(0.9 <= share <= 1.1, (skew, kill_s, share))

    def test_refusal_has_a_retry_time(self) -> None:
        limits = AccountLimits()
        account = Account(name="a", rate_per_s=0.1, concurrency=5)
        self.assertIsNone(limits.admit(account, 0.0))
        refusal = limits.admit(account, 0.0)
        self.assertEqual(Reason.RATE_LIMIT, refusal.reason)
        self.assertEqual(10.0, round(refusal.retry_after_s))

    def test_reported_accounts_are_bounded(self) -> None:
        limits = AccountLimits(routers=12, usage={})
        for number in range(1400):
            account = Account(name=f"a{number}", rate_per_s=1.0)
            limits.admit(account, 0.0)
        self.assertEqual(20, len(limits.end_period()))

    def test_low_demand_is_not_reported(self) -> None:
        limits = AccountLimits(routers=12)
        limits.admit(Account(name="a", rate_per_s=1000.0), 0.0)
        self.assertEqual({}, limits.end_period())

    def test_concurrency_limit_counts_open_requests(self) -> None:
        limits = AccountLimits()
        account = Account(name="a", concurrency=2)
        for _ in range(2):
            self.assertIsNone(limits.admit(account, 0.0))
        refusal = limits.admit(account, 0.0)
        self.assertEqual(Reason.CONCURRENCY_LIMIT, refusal.reason)
        limits.release("a")
        self.assertIsNone(limits.admit(account, 0.0))


class RetriesTest(TestCase):
    """Retries depend on the verdict and are bounded by budgets."""

    def test_retry_depends_on_verdict_and_kind(self) -> None:
        lost = may_have_run(Reason.CONNECTION_LOST)
        self.assertTrue(retries.may_retry(lost, True))
        self.assertFalse(retries.may_retry(lost, False))
        self.assertTrue(
            retries.may_retry(not_run(Reason.CONNECT_FAILED), False)
        )

    def test_budget_bounds_retries(self) -> None:
        budgets = RetryBudgets()
        spent = 0
        for _ in range(1000):
            budgets.earn("a")
            spent += budgets.spend("a")
        self.assertTrue(200 <= spent <= 211, spent)

    def test_backoff_grows_to_its_cap(self) -> None:
        source = random.Random(1)
        pauses = [retries.backoff_s(20, source) for _ in range(100)]
        self.assertTrue(0.9 < max(pauses) <= 1.0)


class AdmissionTest(TestCase):
    """The queue is fair by weight and priority, and refuses early."""

    def job(self, name: str, account: str, **fields: object) -> Job:
        values = {
            "weight": 1.0,
            "priority": 5,
            "prefill_tokens": 100,
            "decode_tokens": 0,
            "max_wait_s": 1e9,
            **fields,
        }
        return Job(
            name=name,
            account=account,
            start=lambda: self.order.append(account),
            **values,
        )

    def run_all(self, jobs: list[Job]) -> list[str]:
        self.order: list[str] = []
        queue = FairQueue(max_running=1)
        for job in jobs:
            self.assertIsNone(queue.offer(job, 0.0))
        for _ in jobs:
            queue.start_ready(0.0)
            for name in list(queue.running):
                queue.finish(name, 0.0)
        return self.order

    def test_small_account_does_not_wait_for_a_large_one(self) -> None:
        jobs = [self.job(f"a{n}", "large") for n in range(50)]
        jobs += [self.job(f"b{n}", "small") for n in range(5)]
        order = self.run_all(jobs)
        self.assertTrue(order.index("small") <= 2, order[:6])
        self.assertEqual(5, order[:12].count("small"))

    def test_shares_follow_weights(self) -> None:
        jobs = [self.job(f"a{n}", "one") for n in range(40)]
        jobs += [self.job(f"b{n}", "three", weight=3.0) for n in range(40)]
        share = self.run_all(jobs)[:40].count("three")
        self.assertTrue(28 <= share <= 32, share)

    def test_priority_does_not_starve(self) -> None:
        jobs = [self.job(f"a{n}", "low", priority=4) for n in range(30)]
        jobs += [self.job(f"b{n}", "high", priority=7) for n in range(90)]
        low = self.run_all(jobs)[:60].count("low")
        self.assertTrue(5 <= low <= 10, low)

    def test_job_is_refused_if_its_wait_would_be_too_long(self) -> None:
        queue = FairQueue(max_running=1)
        queue.offer(self.job("a", "x", prefill_tokens=20_000), 0.0)
        refusal = queue.offer(self.job("b", "x", max_wait_s=1.0), 0.0)
        self.assertEqual(Reason.QUEUE_TOO_LONG, refusal.reason)
        self.assertTrue(refusal.retry_after_s >= 2.0)

    def test_full_queue_refuses(self) -> None:
        queue = FairQueue(max_queue=3)
        refusals = [queue.offer(self.job(f"a{n}", "x"), 0.0) for n in range(4)]
        self.assertEqual(Reason.QUEUE_FULL, refusals[3].reason)


class CacheIndexTest(TestCase):
    """The index tolerates missing events and restarts of the engine."""

    def test_no_hits_after_a_gap_until_the_list_is_read(self) -> None:
        index = CacheIndex()
        stored = CacheEvent(sequence=0, stored=(1, 2, 3))
        index.apply(CacheEvents(incarnation="i", events=(stored,)))
        self.assertEqual(3, index.hit_blocks([1, 2, 3, 4], 0.0))
        later = CacheEvent(sequence=2, stored=(4,))
        index.apply(CacheEvents(incarnation="i", events=(later,)))
        self.assertEqual(0, index.hit_blocks([1, 2, 3, 4], 0.0))
        index.resync(CacheList(incarnation="i", next_sequence=3, blocks=(1, 4)))
        self.assertEqual(1, index.hit_blocks([1, 2, 3, 4], 0.0))

    def test_restart_of_the_engine_empties_the_index(self) -> None:
        index = CacheIndex()
        stored = CacheEvent(sequence=0, stored=(1,))
        index.apply(CacheEvents(incarnation="i", events=(stored,)))
        index.apply(CacheEvents(incarnation="j"))
        self.assertEqual(0, index.hit_blocks([1], 0.0))


class SettingsTest(TestCase):
    """Every error in a settings file is reported."""

    def test_errors_of_settings_files(self) -> None:
        def check(text: str) -> str:
            loaded = settings.parse("f.toml", text, RouterSettings)
            if loaded.is_ok():
                return str(loaded.ok.router)
            return "\n".join(str(fault) for fault in loaded.error)

        cases.check_file(self, "settings.test", check)


class PrefixOwnerTest(TestCase):
    """A prefix that is not cached is computed once for several prompts."""

    def job(self, name: str, after: str = "") -> Job:
        return Job(
            name=name,
            account="a",
            weight=1.0,
            priority=5,
            prefill_tokens=100,
            decode_tokens=1,
            max_wait_s=9.0,
            start=lambda: None,
            after=after,
        )

    def test_follower_waits_for_the_first_token(self) -> None:
        queue = FairQueue()
        for job in (self.job("a"), self.job("b", after="a"), self.job("c")):
            queue.offer(job, 0.0)
        queue.start_ready(0.0)
        self.assertEqual({"a", "c"}, set(queue.running))
        queue.mark_prefilled("a")
        queue.start_ready(0.1)
        self.assertEqual({"a", "b", "c"}, set(queue.running))

    def test_follower_starts_when_its_owner_has_ended(self) -> None:
        queue = FairQueue()
        for job in (self.job("a"), self.job("b", after="a")):
            queue.offer(job, 0.0)
        queue.start_ready(0.0)
        queue.finish("a", 0.1)
        queue.start_ready(0.1)
        self.assertEqual({"b"}, set(queue.running))

    def test_follower_starts_when_its_owner_is_withdrawn(self) -> None:
        queue = FairQueue(max_running=1)
        jobs = [self.job("x"), self.job("a"), self.job("b", after="a")]
        for job in jobs:
            queue.offer(job, 0.0)
        queue.start_ready(0.0)
        queue.withdraw(jobs[1])
        queue.finish("x", 0.1)
        queue.start_ready(0.1)
        self.assertEqual({"b"}, set(queue.running))

    def test_first_attempt_to_compute_a_block_owns_it(self) -> None:
        index = CacheIndex()
        index.expect([1, 2], 9.0, "a")
        index.expect([1, 2, 3], 9.0, "b")
        self.assertEqual("a", index.owner_of([1, 2, 4], 2))
        self.assertEqual("b", index.owner_of([1, 2, 3], 3))
        index.blocks.add(2)
        self.assertEqual("", index.owner_of([1, 2, 4], 2))
