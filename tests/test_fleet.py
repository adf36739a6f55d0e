"""Unit tests of the fleet, freshness, repeats, rollout and record follower."""

import attrs
from testtools import TestCase
from twisted.internet.task import Clock

from sequoiawind import rollout
from sequoiawind.fleet import Fleet
from sequoiawind.freshness import Freshness
from sequoiawind.prompt_cache import Prompt
from sequoiawind.repeat_window import RepeatWindow
from sequoiawind.rollout import NamedVersion, Progress
from sequoiawind.wire import TargetStatus
from tests.forward_rig import REPORT, target


class IncarnationTest(TestCase):
    """A name may be registered again by a new incarnation of a target."""

    def test_new_incarnation_resets_the_health(self) -> None:
        fleet = Fleet()
        fleet.put(target("t1", born_ms=1))
        fleet.record_failure("t1", 0.0, is_certain=True)
        fleet.shed("t1", 0.0)
        self.assertTrue(fleet.put(target("t1", born_ms=2)))
        self.assertEqual(1, len(fleet.ready("app", 0.0)))

    def test_older_incarnation_is_ignored(self) -> None:
        fleet = Fleet()
        fleet.put(target("t1", born_ms=2, address="new:1"))
        fleet.put(target("t1", born_ms=1, address="old:1"))
        self.assertEqual("new:1", fleet.views["t1"].target.address)

    def test_older_target_at_the_same_address_gets_no_work(self) -> None:
        # After a restart entries are read in any order, and the old one may
        # not have expired yet.
        old = target("t1", address="ip:1", born_ms=1)
        new = target("t2", address="ip:1", born_ms=2)
        other = target("t3", "llm", address="ip:1", born_ms=3)
        for entries in ((old, new, other), (other, new, old)):
            fleet = Fleet()
            for entry in entries:
                fleet.put(entry)
            usable = fleet.usable("app", 0.0)
            self.assertEqual(["t2"], [view.target.name for view in usable])

    def test_draining_target_gets_no_work(self) -> None:
        fleet = Fleet()
        fleet.put(target("t1"))
        fleet.put(target("t1", is_draining=True))
        self.assertEqual([], fleet.usable("app", 0.0))


class PoolTest(TestCase):
    """The list of a pool's targets follows every change that matters to it."""

    def names(self, fleet: Fleet, now_s: float) -> list[str]:
        return sorted(fleet.pool("app", now_s).usable)

    def test_ejected_target_is_let_in_again(self) -> None:
        fleet = Fleet()
        for name in ("t1", "t2", "t3"):
            fleet.put(target(name))
        self.assertEqual(["t1", "t2", "t3"], self.names(fleet, 0.0))
        fleet.record_failure("t1", 0.0, is_certain=True)
        self.assertEqual(["t2", "t3"], self.names(fleet, 0.0))
        ends_s = fleet.members.health_of("t1").ejected_until_s
        self.assertEqual(["t1", "t2", "t3"], self.names(fleet, ends_s))
        fleet.record_failure("t1", ends_s, is_certain=True)
        self.assertEqual(["t2", "t3"], self.names(fleet, ends_s))
        fleet.record_success("t1")
        self.assertEqual(["t1", "t2", "t3"], self.names(fleet, ends_s))

    def test_status_that_a_target_drains_counts_immediately(self) -> None:
        fleet = Fleet()
        for name in ("t1", "t2"):
            fleet.put(target(name))
        self.assertEqual(["t1", "t2"], self.names(fleet, 0.0))
        fleet.record_status("t1", TargetStatus(is_draining=True), 0.0)
        self.assertEqual(["t2"], self.names(fleet, 0.0))
        fleet.put(target("t2", is_draining=True))
        self.assertEqual([], self.names(fleet, 0.0))
        fleet.put(target("t3"))
        self.assertEqual(["t3"], self.names(fleet, 0.0))


class StoreOutageTest(TestCase):
    """Entries missing after a store outage are dropped after a grace period."""

    def test_missing_entries_are_dropped_after_the_grace_period(self) -> None:
        fleet = Fleet()
        fleet.put(target("t1"))
        fleet.put(target("t2"))
        fleet.store_lost()
        fleet.remove("t1", 1.0)
        self.assertEqual(2, len(fleet.usable("app", 1.0)))
        fleet.store_back(10.0)
        fleet.remove("t2", 10.1)
        self.assertEqual(2, len(fleet.usable("app", 11.0)))
        fleet.put(target("t1"))
        names = [view.target.name for view in fleet.usable("app", 12.5)]
        self.assertEqual(["t1"], names)

    def test_removed_immediately_while_the_store_answers(self) -> None:
        fleet = Fleet()
        fleet.put(target("t1"))
        fleet.remove("t1", 1.0)
        self.assertEqual([], fleet.usable("app", 1.0))


class StatusTest(TestCase):
    """Agents' statuses show which targets cannot take work."""

    def test_targets_that_cannot_take_work_are_not_ready(self) -> None:
        for status, received_s, expected in (
            (TargetStatus(), 9.5, 1),
            (TargetStatus(is_loading=True), 9.5, 0),
            (TargetStatus(is_reachable=False), 9.5, 0),
            (TargetStatus(is_draining=True), 9.5, 0),
            # Outdated statuses are ignored, except that a target drains.
            (TargetStatus(is_loading=True), 1.0, 1),
            (TargetStatus(is_draining=True), 1.0, 0),
        ):
            fleet = Fleet()
            fleet.put(target("e1", "llm"))
            fleet.record_status("e1", status, received_s)
            ready = fleet.ready("llm", 10.0)
            self.assertEqual(expected, len(ready), (status, received_s))

    def test_winding_down_takes_short_work(self) -> None:
        fleet = Fleet()
        fleet.put(target("e1", "llm"))
        fleet.record_status("e1", TargetStatus(is_winding_down=True), 9.5)
        for other, is_long, expected in (
            # There is no other target for long work.
            (None, True, ["e1"]),
            ("e2", True, ["e2"]),
            ("e2", False, ["e1", "e2"]),
        ):
            if other:
                fleet.put(target(other, "llm"))
            ready = fleet.ready("llm", 10.0, is_long)
            names = [view.target.name for view in ready]
            self.assertEqual(expected, names, (other, is_long))


class LikelyLengthTest(TestCase):
    """The caller's estimate is used, limited to the tokens allowed."""

    def test_estimate_is_limited_to_the_tokens_allowed(self) -> None:
        for allowed, expected, likely in (
            (90, 0, 90),
            (90, 20, 20),
            (9, 20, 9),
        ):
            prompt = Prompt(
                model="m",
                tokens=1,
                max_tokens=allowed,
                expected_tokens=expected,
            )
            self.assertEqual(likely, prompt.likely_tokens)


class FreshnessTest(TestCase):
    """Age counts from when the confirmed request was sent."""

    def test_age_counts_from_the_latest_confirmed_request(self) -> None:
        clock = Clock()
        fresh = Freshness(revoke_s=5.0, in_force_s=2.0, now=clock.seconds)
        self.assertFalse(fresh.may_trust_keys)
        clock.advance(3.0)
        fresh.confirmed(1.0)
        self.assertEqual(2.0, fresh.age_s)
        # An answer to an earlier request does not change the age.
        fresh.confirmed(0.5)
        self.assertEqual(2.0, fresh.age_s)
        clock.advance(2.5)
        self.assertFalse(fresh.may_trust_keys)


class RepeatWindowTest(TestCase):
    """All routers together stay within the pool's bound on repeats."""

    def test_routers_together_stay_within_the_bound(self) -> None:
        windows = [
            RepeatWindow(ratio=0.2, allowance=50.0, window_s=10.0)
            for _ in range(5)
        ]
        repeats = 0
        for window in windows:
            for _ in range(20):
                window.count_first("p", 1.0)
            repeats += sum(window.try_repeat("p", 2.0, 5) for _ in range(200))
        self.assertTrue(0 < repeats <= 0.2 * 100 + 50, repeats)

    def test_fewer_while_the_number_of_routers_is_unknown(self) -> None:
        window = RepeatWindow(ratio=0.0, allowance=50.0, window_s=10.0)
        known = sum(window.try_repeat("p", 1.0, 2) for _ in range(100))
        unknown = sum(window.try_repeat("q", 1.0, 0) for _ in range(100))
        self.assertTrue(unknown < known)

    def test_routers_that_end_leave_no_second_allowance(self) -> None:
        # Four routers use what they may; all but one end, and it goes on.
        windows = [
            RepeatWindow(ratio=0.0, allowance=54.0, window_s=10.0)
            for _ in range(4)
        ]
        repeats = sum(
            window.try_repeat("p", 1.0, 4)
            for window in windows
            for _ in range(200)
        )
        repeats += sum(windows[0].try_repeat("p", 5.0, 1) for _ in range(200))
        self.assertTrue(repeats <= 54, repeats)
        self.assertTrue(windows[0].try_repeat("p", 16.0, 1))

    def test_routers_that_start_again_have_no_second_allowance(self) -> None:
        repeats = 0
        for started_s in (-100.0, 3.0):
            for _ in range(4):
                window = RepeatWindow(
                    ratio=0.0,
                    allowance=54.0,
                    window_s=10.0,
                    started_s=started_s,
                )
                repeats += sum(
                    window.try_repeat("p", max(1.0, started_s + 1.0), 4)
                    for _ in range(200)
                )
        self.assertTrue(0 < repeats <= 54, repeats)

    def test_lost_number_of_routers_is_the_last_known(self) -> None:
        window = RepeatWindow(ratio=0.0, allowance=54.0, window_s=10.0)
        window.count_first("p", 0.0, 300)
        self.assertFalse(window.try_repeat("p", 30.0, 0))

    def test_bound_holds_after_load_that_ends_suddenly(self) -> None:
        # The requests are counted in the window of the repeats, the one before
        # it or the one half a window before, whichever has most.
        window = RepeatWindow(ratio=0.2, allowance=0.0, window_s=10.0)
        first_s = [number * 0.01 for number in range(1_000)]
        for now_s in first_s:
            window.count_first("p", now_s, 1)
        repeats_s = [
            now_s
            for now_s in (10.0 + number * 0.01 for number in range(1_500))
            if window.try_repeat("p", now_s, 1)
        ]

        def between(times_s: list[float], since_s: float) -> int:
            return sum(since_s <= item < since_s + 10.0 for item in times_s)

        for start_s in (number * 0.5 for number in range(40)):
            most = max(
                between(first_s, start_s - back_s)
                for back_s in (0.0, 5.0, 10.0)
            )
            repeats = between(repeats_s, start_s)
            self.assertTrue(repeats <= 0.2 * most, (start_s, repeats, most))

    def test_window_slides(self) -> None:
        window = RepeatWindow(ratio=1.0, allowance=0.0, window_s=10.0)
        for _ in range(10):
            window.count_first("p", 0.0)
        self.assertTrue(window.try_repeat("p", 9.0, 1))
        self.assertFalse(window.try_repeat("p", 11.0, 1))


class RolloutTest(TestCase):
    """Targets load new weights in turns, and never older ones."""

    def test_turns_fit_into_the_time_allowed(self) -> None:
        for count in (1, 2, 6, 9, 60):
            pool = [f"e{number}" for number in range(count)]
            predecessors = {
                name: rollout.turn(name, pool, 6.0).predecessors
                for name in pool
            }
            concurrent = rollout.concurrent_loads(count, 6.0)
            first = [name for name in pool if not predecessors[name]]
            self.assertEqual(min(count, concurrent), len(first))
            # No two targets have the same direct predecessor.
            followed = [names[0] for names in predecessors.values() if names]
            self.assertEqual(len(set(followed)), len(followed))
            # All targets get their turn within the time allowed.
            self.assertTrue(-(-count // concurrent) * rollout.TURN_S <= 6.0)

    def test_lacking(self) -> None:
        named = [
            NamedVersion(version=item, named_s=float(item)) for item in (2, 3)
        ]
        for has, expected in ((1, [2, 3]), (2, [3]), (3, []), (None, [])):
            lacked = rollout.lacking(has, named)
            self.assertEqual(expected, [item.version for item in lacked])

    def test_overdue_by_the_oldest_version_lacked(self) -> None:
        named = [
            NamedVersion(version=item, named_s=float(item)) for item in (2, 4)
        ]
        overdue_s = 2.0 + rollout.OVERDUE_SHARE * 6.0
        self.assertFalse(rollout.is_overdue(named, 6.0, overdue_s - 0.1))
        self.assertTrue(rollout.is_overdue(named, 6.0, overdue_s + 0.1))

    def test_turn_state(self) -> None:
        absent, waiting = Progress.ABSENT, Progress.WAITING
        loading, loaded = Progress.LOADING, Progress.LOADED
        for ahead, expected in (
            ((), True),
            ((absent,), True),
            ((loaded,), True),
            ((absent, loaded), True),
            ((loading,), False),
            ((waiting,), False),
            ((waiting, loaded), False),
            ((waiting, absent, loaded), False),
            ((waiting, loading), None),
            ((waiting, waiting), None),
        ):
            self.assertIs(expected, rollout.turn_state(ahead), ahead)

    def test_winds_down_until_long_runs_have_ended(self) -> None:
        long, short = rollout.LONG_RUN_EVENTS, rollout.LONG_RUN_EVENTS - 1
        soon, late = rollout.WIND_DOWN_S, rollout.WIND_DOWN_CAP_S
        for running, runs, waited_s, expected in (
            (0, (), 0.0, True),
            (2, (short,), 0.0, False),
            (2, (short,), soon, True),
            (2, (short, long), soon, False),
            (2, (short, long), late, True),
            # A target that does not report its runs.
            (2, None, soon, False),
            (2, None, late, True),
        ):
            report = attrs.evolve(REPORT, running=running, runs=runs)
            self.assertIs(
                expected,
                rollout.has_wound_down(report, waited_s),
                (running, runs, waited_s),
            )

    def test_unlisted_runs_are_in_prefill(self) -> None:
        for runs, reading in (((3, 9), 2), ((), 4), (None, 0)):
            report = attrs.evolve(REPORT, running=4, runs=runs)
            self.assertEqual(reading, report.reading)
