"""A daemon that stops is idle until its very end."""

from unittest import mock

import attrs
from testtools import TestCase
from twisted.internet.task import Clock

from sequoiawind import event_loop
from sequoiawind.daemon import IDLE_CHECK_S, Daemon
from sequoiawind.lifecycle import Phase


@attrs.define(kw_only=True)
class Work:
    """Whether a daemon has work in flight."""

    is_idle: bool = True


class StopTest(TestCase):
    """The end of a daemon's shutdown."""

    def test_work_during_the_last_pause_is_finished(self) -> None:
        clock = Clock()
        work = Work()
        phase = Phase(name="serving")
        with mock.patch.object(event_loop, "reactor", clock):
            daemon = Daemon(phase=phase, is_idle=lambda: work.is_idle)
            daemon.lifecycle.ready()
            daemon.leave()
            clock.advance(0)
            self.assertEqual("draining", phase.name)
            # Something arrives between the check and the end.
            work.is_idle = False
            for _ in range(10):
                clock.advance(IDLE_CHECK_S)
            self.assertEqual("draining", phase.name)
            work.is_idle = True
            for _ in range(3):
                clock.advance(IDLE_CHECK_S)
        self.assertEqual("stopped", phase.name)
