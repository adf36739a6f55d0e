"""Running a daemon: ready, serving, leaving on SIGTERM, stopped when idle."""

import signal
from collections.abc import Callable
from functools import partial
from typing import Any, Final

import attrs

from sequoiawind import event_loop
from sequoiawind.lifecycle import Phase, make_lifecycle

IDLE_CHECK_S: Final = 0.05


@attrs.define(kw_only=True)
class Daemon:
    """The life of one process; a context manager around its reactor."""

    phase: Phase
    # Whether nothing is in flight.
    is_idle: Callable[[], bool]
    # Called on SIGTERM and SIGINT, before the balancer has noticed.
    on_leaving: Callable[[], None] = attrs.field(default=lambda: None)
    # Called when the daemon takes no more work.
    on_draining: Callable[[], None] = attrs.field(default=lambda: None)
    # Called on SIGHUP: the settings file may have changed.
    on_reload: Callable[[], None] = attrs.field(default=lambda: None)
    balancer_wait_s: float = 0.0
    lifecycle: Any = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the state machine."""
        self.lifecycle = make_lifecycle(self.phase)

    def __enter__(self) -> "Daemon":
        """Take over the signals."""
        reactor = event_loop.reactor
        self.phase.on_stopped = reactor.stop
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(
                number,
                lambda *_: reactor.callFromThread(self.leave),
            )
        signal.signal(
            signal.SIGHUP,
            lambda *_: reactor.callFromThread(self.on_reload),
        )
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Give the signals back."""
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_DFL)

    def run(self) -> None:
        """Run until the daemon has stopped."""
        event_loop.reactor.run(installSignalHandlers=False)

    def ready(self) -> None:
        """Note that the daemon can serve."""
        self.lifecycle.ready()

    def leave(self) -> None:
        """Begin to leave: not ready, then no more work, then stop."""
        if self.phase.name in ("leaving", "draining", "stopped"):
            return
        self.lifecycle.shut_down()
        self.on_leaving()
        event_loop.reactor.callLater(self.balancer_wait_s, self.drain)

    def drain(self) -> None:
        """Take no more work and stop when idle."""
        self.lifecycle.balancer_noticed()
        self.on_draining()
        self.stop_when_idle()

    def stop_when_idle(self) -> None:
        """Stop as soon as nothing is in flight."""
        if self.is_idle():
            # The last answers still have to leave the sockets.
            stop = partial(self.lifecycle.idle)
            event_loop.reactor.callLater(IDLE_CHECK_S, stop)
            return
        event_loop.reactor.callLater(IDLE_CHECK_S, self.stop_when_idle)
