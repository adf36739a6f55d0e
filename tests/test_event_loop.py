"""The clock of the event loop."""

import time

from testtools import TestCase

from sequoiawind import event_loop
from sequoiawind.freshness import suspended_clock_s


class ClockTest(TestCase):
    """Steps of the time of day move no timers."""

    def test_timers_do_not_run_on_the_time_of_day(self) -> None:
        timer = event_loop.reactor.callLater(60.0, lambda: None)
        self.addCleanup(timer.cancel)
        left_s = timer.getTime() - suspended_clock_s()
        self.assertTrue(59.0 < left_s <= 60.0, left_s)

    def test_clock_is_not_the_time_of_day(self) -> None:
        # This machine has not been up for as long as the epoch lasts.
        self.assertTrue(event_loop.reactor.seconds() < time.time() / 2)
