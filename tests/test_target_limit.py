"""Routers together keep within the limit that a target states."""

import random
from typing import Any

import attrs
from testtools import TestCase
from twisted.internet.task import Clock

from sequoiawind.forward_state import ForwardPool
from sequoiawind.platform import engine_wire
from sequoiawind.platform.engine import DecodingSink
from sequoiawind.stream_move import move_away
from sequoiawind.target_limit import TargetLimit
from sequoiawind.verdict import Reason, Verdict, may_have_run
from sequoiawind.wire import TargetStatus
from tests.forward_rig import FakeCaller, ForwardRig, state, target

# In 4 s a target may get one and a half times its limit and five more, from
# 3 s after it first stated it, by the users' rules.
WINDOW_S = 4.0
CONTACT_S = 3.0
STEP_S = 0.05
EVENT = b"id: 1\ndata: x\n\n"


def allowed(limit_per_s: float) -> float:
    """Return how many requests a target may get in a window."""
    return 1.5 * limit_per_s * WINDOW_S + 5.0


@attrs.define(kw_only=True, eq=False)
class LimitedFleet:
    """Routers before engines that state limits in their answers."""

    routers: int = 4
    # Limits by engine; None for an engine that states none.
    limits: dict[str, float | None]
    clock: Clock = attrs.field(factory=Clock)
    rigs: list[ForwardRig] = attrs.field(factory=list)
    # When each engine got a request.
    arrivals_s: dict[str, list[float]] = attrs.field(factory=dict)
    callers: list[FakeCaller] = attrs.field(factory=list)
    handled: dict[int, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Start the routers."""
        for number in range(self.routers):
            rig = ForwardRig(clock=self.clock)
            rig.forwarder.random.seed(number)
            for name in self.limits:
                rig.add(target(name, "llm"))
            rig.fleet.set_routers(self.routers, 0.0)
            self.rigs.append(rig)

    def play(self, seconds: float, rate_per_s: float, **fields: Any) -> None:
        """Send requests to the routers in turn; the engines answer all."""
        owed = 0.0
        for step in range(round(seconds / STEP_S)):
            owed += rate_per_s * STEP_S
            while owed >= 1.0:
                owed -= 1.0
                rig = self.rigs[(step + int(owed)) % self.routers]
                self.callers.append(rig.submit("draft", **fields))
            self.answer()
            self.clock.advance(STEP_S)
            for rig in self.rigs:
                rig.freshness.confirmed(self.clock.seconds())
                rig.fleet.set_routers(self.routers, self.clock.seconds())

    def answer(self) -> None:
        """Answer what has arrived, with the engines' limits."""
        for number, rig in enumerate(self.rigs):
            new = rig.port.sent[self.handled.get(number, 0) :]
            self.handled[number] = len(rig.port.sent)
            for sent in new:
                name = sent.order.target.name
                arrived_s = self.arrivals_s.setdefault(name, [])
                arrived_s.append(self.clock.seconds())
                limit = self.limits[name]
                headers = []
                if limit is not None:
                    headers = [(b"server-limit", f"{limit}".encode())]
                sink = DecodingSink(model="m", sink=sent.sink)
                sink.head(200, [*headers, (b"transfer-encoding", b"chunked")])
                sink.data(EVENT)
                sink.done()

    def most(self, name: str, since_s: float = CONTACT_S) -> int:
        """Return the most requests that an engine got in a window."""
        times_s = [
            item for item in self.arrivals_s.get(name, ()) if item >= since_s
        ]
        return max(
            (
                sum(start_s <= item < start_s + WINDOW_S for item in times_s)
                for start_s in times_s
            ),
            default=0,
        )


class LimitTest(TestCase):
    """What targets get that state a limit."""

    def test_routers_together_stay_within_the_limit(self) -> None:
        for limit_per_s in (1.0, 1.9, 5.0):
            fleet = LimitedFleet(limits={"e1": limit_per_s, "e2": None})
            fleet.play(20.0, 20.0)
            most = fleet.most("e1")
            self.assertTrue(0 < most <= allowed(limit_per_s), most)
            self.assertTrue(all(item.is_ended for item in fleet.callers))

    def test_what_limits_leave_no_room_for_is_refused_at_once(self) -> None:
        fleet = LimitedFleet(limits={"e1": 1.0, "e2": 1.0})
        fleet.play(2.0, 10.0)
        before = len(fleet.callers)
        fleet.play(10.0, 20.0)
        late = fleet.callers[before:]
        refused = [item.failure for item in late if item.failure is not None]
        self.assertTrue(len(refused) > len(late) / 2, len(refused))
        for failure in refused:
            self.assertIs(Verdict.NOT_RUN, failure.verdict)
            self.assertTrue(failure.retry_after_s)
        served = sum(item.is_ended for item in late)
        self.assertTrue(served >= 8, served)
        for name in fleet.limits:
            self.assertTrue(fleet.most(name) <= allowed(1.0))

    def test_part_of_a_router_that_joins_or_ends(self) -> None:
        for routers in (2, 6):
            fleet = LimitedFleet(limits={"e1": 1.9, "e2": None})
            fleet.play(6.0, 20.0)
            if routers < fleet.routers:
                del fleet.rigs[routers:]
            while len(fleet.rigs) < routers:
                rig = ForwardRig(clock=fleet.clock)
                rig.forwarder.random.seed(len(fleet.rigs))
                for name in fleet.limits:
                    rig.add(target(name, "llm"))
                fleet.rigs.append(rig)
            fleet.routers = routers
            fleet.play(14.0, 20.0)
            most = fleet.most("e1")
            self.assertTrue(0 < most <= allowed(1.9), (routers, most))

    def test_limit_is_raised_lowered_and_dropped_as_answers_say(self) -> None:
        fleet = LimitedFleet(limits={"e1": 1.0, "e2": None})
        fleet.play(8.0, 20.0)
        for limit_per_s, least, most in (
            (4.0, 6, allowed(4.0)),
            (1.0, 1, allowed(1.0)),
            (None, 20, 1_000),
        ):
            fleet.limits["e1"] = limit_per_s
            fleet.play(CONTACT_S, 20.0)
            since_s = fleet.clock.seconds()
            fleet.play(8.0, 20.0)
            got = fleet.most("e1", since_s)
            self.assertTrue(least <= got <= most, (limit_per_s, got))

    def test_limit_of_nothing_is_noticed_when_it_rises(self) -> None:
        fleet = LimitedFleet(limits={"e1": 0.0, "e2": None})
        fleet.play(8.0, 20.0)
        self.assertTrue(fleet.most("e1") <= allowed(0.0))
        fleet.limits["e1"] = None
        fleet.play(20.0, 20.0)
        self.assertTrue(fleet.most("e1", 25.0) > allowed(0.0))


class PartTest(TestCase):
    """Which part of a limit a router takes, and what counts."""

    def limited(self, limit_per_s: float = 1.0) -> ForwardRig:
        """Return a router that knows one of two engines to be limited."""
        rig = ForwardRig()
        for name in ("e1", "e2"):
            rig.add(target(name, "llm"))
        rig.fleet.set_routers(1, 0.0)
        rig.fleet.record_limit(rig.fleet.views["e1"], limit_per_s, 0.0)
        return rig

    def test_router_learns_a_limit_from_the_agent(self) -> None:
        rig = ForwardRig()
        rig.add(target("e1", "llm"))
        for limit_per_s in (1.5, 2.5, None):
            status = TargetStatus(target="e1", limit_per_s=limit_per_s)
            rig.fleet.record_status("e1", status, 0.0)
            limit = rig.fleet.views["e1"].notice.limit
            known = limit.limit_per_s if limit is not None else None
            self.assertEqual(limit_per_s, known)

    def test_answer_is_newer_than_the_status_known_before(self) -> None:
        rig = self.limited()
        view = rig.fleet.views["e1"]
        for _ in range(2):
            rig.fleet.record_status("e1", TargetStatus(target="e1"), 0.0)
            self.assertIsNotNone(view.notice.limit)

    def test_parts_go_by_demand(self) -> None:
        shares = []
        for own_per_s in (0.0, 1.0, 9.0):
            rig = self.limited()
            rig.fleet.set_routers(
                3, 0.0, own_per_s=own_per_s, demand_per_s=10.0
            )
            limit = rig.fleet.views["e1"].notice.limit
            assert limit is not None
            shares.append(limit.share)
        self.assertTrue(0.0 < shares[0] < shares[1] < shares[2], shares)
        self.assertAlmostEqual(1.0, sum(shares))

    def test_unknown_number_of_routers_gives_a_small_part(self) -> None:
        fleet = ForwardRig().fleet
        self.assertEqual(1.0 / 16, fleet.limit_share(0.0))
        fleet.set_routers(300, 0.0)
        self.assertEqual(1.0 / 300, fleet.limit_share(100.0))

    def test_repeats_and_resumed_streams_count(self) -> None:
        rig = self.limited(limit_per_s=0.0)
        for _ in range(5):
            rig.submit("draft")
            rig.port.sent[-1].sink.failed(may_have_run(Reason.CHUNK_TIMEOUT))
            rig.submit("draft", last_event_id="3", resumes="q1")
        rig.advance(0.2)
        names = {sent.order.target.name for sent in rig.port.sent}
        self.assertEqual({"e2"}, names)

    def test_move_to_and_from_a_limited_target_counts(self) -> None:
        # Without room at the source the run is not moved; without room at the
        # destination there is none.
        for limited, moves in (("e1", 0), ("e2", 0), ("", 1)):
            rig = ForwardRig()
            pool = ForwardPool(
                name="llm", models=("m",), memory_tokens=1, has_moves=True
            )
            rig.configure(state(2, pools={"llm": pool}))
            rig.add(target("e1", "llm"))
            rig.submit("draft")
            rig.port.sent[0].begin(200, EVENT)
            rig.add(target("e2", "llm"))
            if limited:
                view = rig.fleet.views[limited]
                rig.fleet.record_limit(view, 0.0, 0.0)
            (forwarding,) = rig.forwarder.open
            move_away(forwarding)
            self.assertEqual(moves, len(rig.port.moves), limited)

    def test_cache_of_a_limited_target_is_not_watched(self) -> None:
        rig = self.limited()
        self.assertTrue(rig.forwarder.is_paused("e1"))
        self.assertFalse(rig.forwarder.is_paused("e2"))

    def test_many_routers_stay_within_the_limit(self) -> None:
        # Each uses all its room, after any time without demand, and after its
        # process has been suspended.
        for routers, limit_per_s in ((4, 1.0), (30, 1.9), (300, 1.0)):
            rng = random.Random(routers)
            limits = [
                TargetLimit.stated(limit_per_s, 1.0 / routers, rng, 0.0)
                for _ in range(routers)
            ]
            used_s: list[float] = []
            for step in range(3_000):
                now_s = step * 0.02
                if 20.0 < now_s < 30.0:
                    continue
                used_s += [now_s for item in limits if item.take(now_s)]
            most = max(
                sum(start_s <= item < start_s + WINDOW_S for item in used_s)
                for start_s in used_s
            )
            self.assertTrue(most <= allowed(limit_per_s), (routers, most))
            # Most of what may be used is used.
            self.assertTrue(len(used_s) >= 0.4 * limit_per_s * 50, used_s)


class HeaderTest(TestCase):
    """What a target states is decoded, or ignored if it is no limit."""

    def test_limits(self) -> None:
        for text, expected in (
            (b"1.9", 1.9),
            (b" 3 ", 3.0),
            (b"0", 0.0),
            (b"-1", None),
            (b"nan", None),
            (b"inf", None),
            (b"", None),
            (b"\xff", None),
            (b"many", None),
        ):
            found = {b"server-limit": text}
            self.assertEqual(expected, engine_wire.limit_per_s(found), text)
        self.assertIsNone(engine_wire.limit_per_s({}))
