"""Changes of the configuration are in force in time at every sound router.

Each test lets routers lose what they usually learn of changes by, while nothing
happens to the routers themselves or to their ways to the store.
"""

import random

import attrs
from testtools import TestCase

from sequoiawind import wire
from sequoiawind.crash_registry import PartBody
from sequoiawind.feed_messages import FeedReply
from sequoiawind.forward_state import ForwardPool, ForwardRoute, PoolShare
from sequoiawind.options import BoundsOptions
from sequoiawind.platform import names
from sequoiawind.record_cover import TAKEOVER_S
from sequoiawind.stream_origins import StreamOrigin
from sequoiawind.stream_reconnect import with_pool_of_origin
from tests.forward_rig import ForwardRig, state
from tests.virtual_fleet import STORE, VirtualFleet, VirtualRouter

IN_FORCE_S = 2.0
STEP_S = 0.02
SEEDS = (1, 2, 3)
# Rate of a link of 2.4 megabits a second, on which all caches together take
# several seconds.
THIN_LINK_BYTES_PER_S = 300_000.0
CACHED_PARTS = 1_000
# Records that take two seconds on that link, after Base64.
LONG_RECORDS = 225
LONG_RECORD_BYTES = 2_000


def fleet_of(test: TestCase, seed: int) -> VirtualFleet:
    """Return a fleet whose changes must be in force within `IN_FORCE_S`."""
    return VirtualFleet(
        test=test,
        bounds=BoundsOptions(
            in_force_ms=IN_FORCE_S * 1000, drain_ms=IN_FORCE_S * 1000
        ),
        random=random.Random(seed),
    )


def longest_lag_s(
    fleet: VirtualFleet, seconds: float, change_each_s: float = 0.5
) -> float:
    """Let time pass with changes; return the longest lag at any router."""
    revision, longest_s, changed_s = max(fleet.acknowledged_s), 0.0, 0.0
    for step in range(round(seconds / STEP_S)):
        if step * STEP_S >= changed_s + change_each_s:
            revision, changed_s = revision + 1, step * STEP_S
            fleet.configure(revision)
        fleet.run(STEP_S, STEP_S)
        lags_s = [fleet.oldest_missing_s(router) for router in fleet.routers]
        longest_s = max(longest_s, *lags_s)
    return longest_s


class ThinLinkTest(TestCase):
    """A router whose link is thin has lost its relays for a while."""

    def prepared(
        self, seed: int, cached_parts: int = CACHED_PARTS
    ) -> tuple[VirtualFleet, VirtualRouter]:
        """Return a fleet with one router, which knows what is cached."""
        fleet = fleet_of(self, seed)
        fleet.cached_parts = cached_parts
        fleet.configure(1)
        fleet.start(domains=3, agents=4, routers=0)
        fleet.add_router("10.0.1.1", "d0")
        fleet.run(6.0, STEP_S)
        router = fleet.routers[0]
        fleet.watch_caches(router)
        fleet.links["10.0.1.1"].bytes_per_s = THIN_LINK_BYTES_PER_S
        fleet.run(3.0, STEP_S)
        self.assertTrue(router.feed.is_live)
        self.assertEqual(1, router.board.state.revision)
        return fleet, router

    def test_reads_of_caches_do_not_delay_changes(self) -> None:
        for seed in SEEDS:
            fleet, _ = self.prepared(seed)
            fleet.ended_agents.update(fleet.agents)
            lag_s = longest_lag_s(fleet, 6.0)
            self.assertTrue(lag_s < IN_FORCE_S, (seed, lag_s))

    def test_relay_is_reached_again_and_tells_of_changes(self) -> None:
        for seed in SEEDS:
            fleet, router = self.prepared(seed)
            fleet.ended_agents.update(fleet.agents)
            fleet.run(4.0, STEP_S)
            fleet.ended_agents.clear()
            fleet.run(6.0, STEP_S)
            self.assertTrue(router.feed.is_live, seed)
            # The store turns the router away and serves the relays.
            fleet.cut("10.0.1.1", STORE)
            lag_s = longest_lag_s(fleet, 4.0)
            self.assertTrue(lag_s < IN_FORCE_S, (seed, lag_s))

    def test_long_list_of_records_is_read_from_the_store(self) -> None:
        for seed in SEEDS:
            fleet, router = self.prepared(seed, cached_parts=0)
            for number in range(LONG_RECORDS):
                part = f"{number:0{LONG_RECORD_BYTES}}"
                body = wire.encode(PartBody(at_ms=0, part=part))
                fleet.store.put(names.CRASHES_TOPIC, f"answer/{number}", body)
            fleet.ended_agents.update(fleet.agents)
            fleet.run(8.0, STEP_S)
            applied = router.forwarder.crashes.applied
            self.assertEqual(LONG_RECORDS, len(applied), seed)


class RelaysWithoutStoreTest(TestCase):
    """All relays have lost the store; the routers reach both."""

    def test_relays_do_not_keep_routers_on_old_configurations(self) -> None:
        for seed in SEEDS:
            fleet = fleet_of(self, seed)
            fleet.configure(1)
            fleet.start(domains=3, agents=2, routers=1)
            # The time since the relays' last reads differs between seeds.
            fleet.run(8.0 + 0.3 * seed, STEP_S)
            fleet.configure(2)
            fleet.run(STEP_S, STEP_S)
            for host in fleet.agents:
                fleet.cut(host, STORE)
            lag_s = longest_lag_s(fleet, 6.0, change_each_s=0.02)
            self.assertTrue(lag_s < IN_FORCE_S, (seed, lag_s))

    def test_routers_stay_with_relays_that_have_the_store(self) -> None:
        fleet = fleet_of(self, 1)
        fleet.configure(1)
        fleet.start(domains=3, agents=2, routers=1)
        fleet.run(8.0, STEP_S)
        oldest_s = 0.0
        for revision in range(2, 6):
            fleet.configure(revision)
            for _ in range(200):
                fleet.run(STEP_S, STEP_S)
                for router in fleet.routers:
                    age_s = router.feed_reader.operator_age_s
                    oldest_s = max(oldest_s, age_s)
        self.assertTrue(oldest_s < IN_FORCE_S - TAKEOVER_S, oldest_s)


class FailingRecordTest(TestCase):
    """A record whose handling fails holds up none of those beside it."""

    def prepared(self) -> tuple[VirtualFleet, VirtualRouter]:
        """Return a fleet with a router that fails to apply new weights."""
        fleet = fleet_of(self, 1)
        fleet.configure(1)
        fleet.start(domains=1, agents=1, routers=1)
        fleet.run(6.0, STEP_S)
        router = fleet.routers[0]
        self.patch(router.feed_reader.operator, "on_weights", fail)
        return fleet, router

    def check(self, fleet: VirtualFleet) -> None:
        """Name weights, and change the configuration at the same time."""
        weights = b'{"model": "m", "version": 2}'
        key = names.VERSION_KEY_PREFIX + "m"
        fleet.store.put(names.OPERATOR_TOPIC, key, weights)
        fleet.configure(2)
        fleet.run(IN_FORCE_S, STEP_S)
        self.assertEqual(2, fleet.routers[0].board.state.revision)

    def test_change_from_a_relay(self) -> None:
        fleet, router = self.prepared()
        fleet.cut(router.options.node.ip, STORE)
        self.check(fleet)

    def test_change_from_the_store(self) -> None:
        fleet, _ = self.prepared()
        fleet.ended_agents.update(fleet.agents)
        fleet.run(4.0, STEP_S)
        self.check(fleet)

    def test_reply_that_was_not_applied_is_asked_for_again(self) -> None:
        fleet, router = self.prepared()
        fleet.cut(router.options.node.ip, STORE)
        take = router.feed.on_reply
        failures = [1]

        def fail_once(reply: FeedReply, sent_s: float) -> None:
            if reply.records and failures:
                failures.pop()
                raise ValueError("failed")
            take(reply, sent_s)

        router.feed.on_reply = fail_once
        fleet.configure(2)
        fleet.run(IN_FORCE_S, STEP_S)
        self.assertEqual([], failures)
        self.assertEqual(2, router.board.state.revision)


def fail(*args: object) -> None:
    """Raise what nobody expects."""
    raise ValueError("failed")


class ResumedStreamTest(TestCase):
    """A stream that its caller resumes goes where the new version allows."""

    def test_pool_without_a_share_of_the_route_continues_no_stream(
        self,
    ) -> None:
        for weight, expected in ((1.0, "old"), (0.0, "new")):
            rig = ForwardRig()
            route = ForwardRoute(
                name="draft",
                host="h",
                path="/draft/",
                kind="draft",
                pool="new",
                shares=(
                    PoolShare(pool="old", weight=weight),
                    PoolShare(pool="new", weight=1.0),
                ),
            )
            pools = {name: ForwardPool(name=name) for name in ("old", "new")}
            rig.configure(state(2, routes={"draft": route}, pools=pools))
            planned = rig.forwarder.planner.plan(rig.request("draft"))
            plan = attrs.evolve(planned.ok, pool=pools["new"])
            origin = StreamOrigin(pool="old", software="v1")
            found = with_pool_of_origin(plan, origin, rig.board.state)
            self.assertEqual(expected, found.pool.name)
