"""Running a daemon: readiness, signals, and shutdown once it is idle."""

import signal
from collections.abc import Callable
from typing import Any, Final

import attrs

from sequoiawind import event_loop, held_up
from sequoiawind.freshness import suspended_clock_s
from sequoiawind.lifecycle import Phase, make_lifecycle
from sequoiawind.stop_notes import Step

IDLE_CHECK_S: Final = 0.05
# Time before SIGKILL at which requests that have not ended get their final
# answers, in seconds, and at most as a share of the time between the signals.
END_MARGIN_S: Final = 0.5
END_MARGIN_SHARE: Final = 0.1
# Time before that at which answers are held up for slow callers no longer, in
# seconds, and at most as a share of the time for work.
FLUSH_MARGIN_S: Final = 0.5
FLUSH_MARGIN_SHARE: Final = 0.1
# Time after the end of all work for which a process still waits until it is
# idle, as a share of the time for work: its last answers are written meanwhile.
LAST_WAIT_SHARE: Final = 0.015
# Time after the end of all work at which a process that has not ended writes
# its call stacks, in seconds, and at most as a share of the time for work: most
# of the time that is left until SIGKILL.
STACKS_DELAY_S: Final = 0.35
STACKS_DELAY_SHARE: Final = 0.075


def work_time_s(grace_s: float) -> float:
    """Return how long a process may work after SIGTERM, in seconds.

    Args:
      grace_s: Time between SIGTERM and SIGKILL, in seconds; 0 if unknown.
    """
    if grace_s <= 0.0:
        return float("inf")
    return grace_s - min(END_MARGIN_S, END_MARGIN_SHARE * grace_s)


@attrs.define(kw_only=True)
class Daemon:
    """Runs a daemon's reactor; a context manager for its signal handlers."""

    phase: Phase
    # Whether no work is in flight.
    is_idle: Callable[[], bool]
    # Called on SIGTERM and SIGINT, while the balancer may still send requests.
    on_leaving: Callable[[], None] = attrs.field(default=lambda: None)
    # Called when the daemon stops accepting work.
    on_draining: Callable[[], None] = attrs.field(default=lambda: None)
    # Called on SIGHUP: the settings file may have changed.
    on_reload: Callable[[], None] = attrs.field(default=lambda: None)
    # Called at each signal, when the drain begins, and at the end.
    on_step: Callable[[Step], None] = attrs.field(default=lambda step: None)
    # Returns the time between the signal and draining, in seconds.
    balancer_wait_s: Callable[[], float] = attrs.field(default=lambda: 0.0)
    # Returns the time between the signal and the end of all work, in seconds.
    work_s: Callable[[], float] = attrs.field(default=lambda: float("inf"))
    # Called when no work is in flight, before the daemon stops.
    on_idle: Callable[[], None] = attrs.field(default=lambda: None)
    # Called shortly before that time, if work is in flight then.
    on_flushing: Callable[[], None] = attrs.field(default=lambda: None)
    # Called once that time has passed, if work is in flight then.
    on_ending: Callable[[], None] = attrs.field(default=lambda: None)
    # Clock of these times, in seconds.  It counts suspended time, as the time
    # after which the process is killed does.
    age_clock: Callable[[], float] = suspended_clock_s
    # When the signal arrived, by that clock.
    signalled_s: float = 0.0
    # Whether a signal to stop has arrived; it may not be handled yet.
    is_signalled: bool = False
    has_flushed: bool = False
    has_ended_work: bool = False
    lifecycle: Any = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the state machine of the life cycle."""
        self.lifecycle = make_lifecycle(self.phase)

    def __enter__(self) -> "Daemon":
        """Install the signal handlers."""
        reactor = event_loop.reactor
        self.phase.on_stopped = self.stop_reactor
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda number, _: self.signalled(number))
        signal.signal(
            signal.SIGHUP,
            lambda *_: reactor.callFromThread(self.reload),
        )
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Restore the default signal handlers."""
        held_up.write_no_stacks()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_DFL)

    def signalled(self, number: int) -> None:
        """Note a signal to stop; the event loop handles it when it can."""
        if not self.is_signalled:
            self.is_signalled = True
            work_s = self.work_s()
            delay_s = min(STACKS_DELAY_S, STACKS_DELAY_SHARE * work_s)
            held_up.write_stacks_after(work_s + delay_s)
        event_loop.reactor.callFromThread(
            self.leave, Step(signal.Signals(number).name), self.age_clock()
        )

    def run(self) -> None:
        """Run until the daemon has stopped."""
        event_loop.reactor.run(installSignalHandlers=False)

    def ready(self) -> None:
        """Enter the serving phase."""
        self.lifecycle.ready()

    def reload(self) -> None:
        """Read the settings file again, as SIGHUP asks."""
        self.on_step(Step.SIGHUP)
        self.on_reload()

    def stop_reactor(self) -> None:
        """Stop the event loop; `run` returns."""
        self.on_step(Step.END)
        event_loop.reactor.stop()

    def leave(
        self, step: Step = Step.SIGTERM, signalled_s: float | None = None
    ) -> None:
        """Start the shutdown: report not ready, later drain and stop.

        Args:
          step: The signal.
          signalled_s: When it arrived, by `age_clock`; None for now.  The event
            loop may be held up after that, and the platform does not wait.
        """
        if self.phase.name in ("leaving", "draining", "stopped"):
            return
        self.signalled_s = (
            self.age_clock() if signalled_s is None else signalled_s
        )
        self.phase.since_signal_s = lambda: self.since_signal_s
        self.on_step(step)
        self.lifecycle.shut_down()
        self.on_leaving()
        self.drain_when_due()

    @property
    def since_signal_s(self) -> float:
        """Time since the signal, in seconds."""
        return self.age_clock() - self.signalled_s

    @property
    def work_left_s(self) -> float:
        """Time left until all work must have ended, in seconds."""
        return self.work_s() - self.since_signal_s

    @property
    def last_wait_s(self) -> float:
        """For how long to wait for idleness after the end of work, in s."""
        return LAST_WAIT_SHARE * self.work_s()

    @property
    def flush_margin_s(self) -> float:
        """Time before the end of work at which to flush, in seconds."""
        return min(FLUSH_MARGIN_S, FLUSH_MARGIN_SHARE * self.work_s())

    def drain_when_due(self) -> None:
        """Drain as soon as the balancer has noticed."""
        left_s = self.balancer_wait_s() - self.since_signal_s
        if left_s > 0.0:
            # The clock of the timer does not count suspended time.
            delay_s = min(left_s, IDLE_CHECK_S)
            event_loop.reactor.callLater(delay_s, self.drain_when_due)
        else:
            event_loop.reactor.callLater(0, self.drain)

    def drain(self) -> None:
        """Stop accepting work, and stop the daemon when it is idle."""
        self.lifecycle.balancer_noticed()
        self.on_step(Step.DRAIN)
        self.on_draining()
        self.stop_when_idle()

    def stop_when_idle(self) -> None:
        """Stop the daemon as soon as no work is in flight; end it in time.

        Shortly after the end of all work it stops in any case: what callers
        have not taken by then is left to the kernel, which delivers it.
        """
        if self.is_idle():
            self.on_idle()
            # The last answers must still be written to their sockets.
            event_loop.reactor.callLater(IDLE_CHECK_S, self.stop_if_idle)
            return
        if not self.has_flushed and self.work_left_s <= self.flush_margin_s:
            self.has_flushed = True
            self.on_flushing()
        if not self.has_ended_work and self.work_left_s <= 0.0:
            self.has_ended_work = self.phase.has_ended_work = True
            self.on_ending()
        elif self.has_ended_work and self.work_left_s <= -self.last_wait_s:
            self.lifecycle.idle()
            return
        event_loop.reactor.callLater(IDLE_CHECK_S, self.stop_when_idle)

    def stop_if_idle(self) -> None:
        """Stop the daemon, unless work has come since the last check."""
        if self.is_idle():
            self.lifecycle.idle()
        else:
            self.stop_when_idle()
