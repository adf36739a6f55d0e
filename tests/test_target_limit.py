"""Routers together keep within the limit that a target states."""

from typing import Any

import attrs
from testtools import TestCase
from twisted.internet.task import Clock

from sequoiawind.platform.engine import DecodingSink
from sequoiawind.verdict import Verdict
from tests.forward_rig import FakeCaller, ForwardRig, target

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
