"""A request under which targets crash is known again and kept from them."""

from testtools import TestCase

from sequoiawind.verdict import Verdict
from tests.crashing_fleet import FATAL, CrashingFleet
from tests.forward_rig import KINDS

# Crashes, the time after the last of them, and the sends that are allowed from
# then on, by the users' rules.
FREE_CRASHES = 3
CONTACT_S = 3.0
MAX_LATER_SENDS = 3
# Steps between two fatal requests, and steps in all.
FATAL_EVERY = 7
STEPS = 300


def is_served(caller_body: bytes) -> bool:
    """Whether a caller has the answer of a sound request."""
    return caller_body in (b"done", b"id: 1\ndata: x\n\n")


class CrashingRequestTest(TestCase):
    """What one router sees itself."""

    def test_request_stops_reaching_targets(self) -> None:
        for route in KINDS:
            fleet = CrashingFleet()
            for step in range(STEPS):
                if step % FATAL_EVERY == 0:
                    fleet.submit(route, FATAL)
                fleet.step()
            later = fleet.later_sends(FREE_CRASHES, CONTACT_S)
            self.assertTrue(later <= MAX_LATER_SENDS, (route, later))
            self.assertTrue(len(fleet.crashes_s) <= FREE_CRASHES + 2, route)

    def test_requests_that_differ_in_one_thing_go_on(self) -> None:
        for route in KINDS:
            fleet = CrashingFleet()
            served = 0
            for step in range(STEPS):
                if step % FATAL_EVERY == 0:
                    fleet.submit(route, FATAL, path="x", own="fatal")
                body = b"%d" % step
                callers = [
                    # Another body under the same path, and the same parts.
                    fleet.submit(route, body, path="x", own="fatal"),
                    # Another path with an earlier body.
                    fleet.submit(route, b"same", path="y"),
                ]
                fleet.step()
                fleet.step()
                if step > STEPS - 50:
                    served += sum(is_served(item.body) for item in callers)
            self.assertTrue(served > 95, (route, served))

    def test_refusal_is_true_and_says_when_to_return(self) -> None:
        fleet = CrashingFleet()
        for _ in range(40):
            caller = fleet.submit("read", FATAL)
            fleet.step()
        assert caller.failure is not None
        self.assertEqual(Verdict.NOT_RUN, caller.failure.verdict)
        self.assertEqual("blocked_request", caller.failure.reason.value)
        self.assertTrue(caller.failure.retry_after_s)

    def test_request_that_comes_seldom_is_known_again(self) -> None:
        fleet = CrashingFleet()
        for step in range(1200):
            if step % 250 == 0:
                fleet.submit("book", FATAL)
            fleet.step()
        # At 0, 25 and 50 s; blocked from then on.
        self.assertEqual(3, len(fleet.crashes_s))
