"""The order of waiting requests is fair between accounts."""

import random
from collections import Counter

from testtools import TestCase

from sequoiawind.load.fair_order import FairOrder, WaitingItem


def item(
    account: str,
    number: int = 0,
    priority: int = 1,
    arrived_s: float = 0.0,
    limit_s: float = 10.0,
    work: float = 100.0,
) -> WaitingItem[tuple[str, int]]:
    """Return a waiting request that is known by its account and number."""
    return WaitingItem(
        request=(account, number),
        account=account,
        priority=priority,
        arrived_s=arrived_s,
        ends_s=arrived_s + limit_s,
        work=work,
    )


def serve(
    order: FairOrder, waiting: list[WaitingItem[tuple[str, int]]], now_s: float
) -> WaitingItem[tuple[str, int]]:
    """Serve and remove the first waiting request."""
    first = order.ordered(waiting, now_s)[0]
    waiting.remove(first)
    order.served(first.account, first.priority, first.work)
    return first


class FairOrderTest(TestCase):
    """Each test guards against one unfair order."""

    def test_one_account_waits_in_the_order_of_urgency(self) -> None:
        # The order without competition must not change.
        chance = random.Random(1)
        waiting = [
            item(
                "a",
                number,
                priority=chance.randrange(3),
                arrived_s=chance.uniform(0.0, 5.0),
                limit_s=chance.choice((0.7, 5.0, 15.0)),
                work=chance.uniform(0.0, 9_200.0),
            )
            for number in range(200)
        ]
        expected = sorted(waiting, key=lambda one: (one.priority, one.ends_s))
        self.assertEqual(expected, FairOrder().ordered(waiting, 5.0))

    def test_accounts_share_by_work_not_by_number(self) -> None:
        # A share by requests gives large requests ten times the capacity.
        waiting = [item("large", n, work=1_000.0) for n in range(40)]
        waiting += [item("small", n, work=100.0) for n in range(400)]
        order, work = FairOrder(), Counter[str]()
        for _ in range(220):
            served = serve(order, waiting, 0.1)
            work[served.account] += int(served.work)
        self.assertTrue(abs(work["large"] - work["small"]) <= 1_000, work)

    def test_flooding_account_delays_only_itself(self) -> None:
        waiting = [item("flood", n) for n in range(500)]
        order = FairOrder()
        for _ in range(5):
            serve(order, waiting, 0.1)
        waiting.append(item("late", arrived_s=0.1))
        accounts = [serve(order, waiting, 0.2).account for _ in range(2)]
        self.assertIn("late", accounts)

    def test_idle_account_has_saved_up_nothing(self) -> None:
        # One that starts at zero would be served alone until it caught up.
        waiting = [item("a", n) for n in range(100)]
        order = FairOrder()
        for _ in range(50):
            serve(order, waiting, 0.1)
        waiting += [item("b", n, arrived_s=0.1) for n in range(50)]
        counts = Counter(serve(order, waiting, 0.2).account for _ in range(20))
        self.assertTrue(9 <= counts["a"] <= 11, counts)

    def test_small_requests_do_not_overtake_a_large_one_for_ever(self) -> None:
        # A start that moves on with the virtual time is never reached.
        waiting = [item("large", work=1_000.0)]
        order, before = FairOrder(), 0
        for number in range(100):
            waiting.append(item(f"small-{number}", arrived_s=number * 1e-3))
            if serve(order, waiting, number * 1e-3).account == "large":
                before = number
                break
        self.assertTrue(0 < before <= 11, before)

    def test_is_not_overtaken_after_a_quarter_of_its_time(self) -> None:
        for now_s, first in ((2.4, "small"), (2.6, "large")):
            order = FairOrder()
            waiting = [item("large", work=9_200.0), item("other", work=50.0)]
            serve(order, waiting, 0.1)
            waiting.append(item("small", arrived_s=2.3))
            waiting.append(item("less urgent", priority=2, limit_s=0.1))
            ordered = order.ordered(waiting, now_s)
            self.assertEqual(first, ordered[0].account, now_s)
            self.assertEqual("less urgent", ordered[-1].account)

    def test_waiting_long_does_not_help_a_flooding_account(self) -> None:
        waiting = [item("flood", n) for n in range(100)]
        order = FairOrder()
        for _ in range(10):
            serve(order, waiting, 2.6)
        waiting.append(item("late", arrived_s=2.6))
        accounts = [serve(order, waiting, 2.7).account for _ in range(3)]
        self.assertIn("late", accounts)

    def test_keeps_nothing_of_accounts_that_do_not_wait(self) -> None:
        # 10,000 accounts are planned for; most of them never wait.
        order = FairOrder()
        for number in range(10_000):
            waiting = [item(f"a-{number}"), item("b", number)]
            serve(order, waiting, 0.1)
            order.served(f"direct-{number}", 1, 100.0)
        self.assertEqual(2, len(order.queues[1].starts))
        order.ordered([], 0.2)
        self.assertEqual({}, order.queues)
