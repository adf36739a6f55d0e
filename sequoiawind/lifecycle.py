"""Lifecycle of a daemon: starting, serving, leaving, draining, stopped.

A state machine makes the order of the phases explicit.  A leaving daemon is no
longer ready but accepts work until the balancer has noticed, a draining one
accepts none, and it stops only when nothing is in flight.
"""

from collections.abc import Callable
from typing import Protocol

import attrs
from automat import TypeMachineBuilder


class Lifecycle(Protocol):
    """Events in the lifecycle of a daemon."""

    def ready(self) -> None:
        """The daemon can serve."""

    def shut_down(self) -> None:
        """The daemon has been asked to stop."""

    def balancer_noticed(self) -> None:
        """The balancer sends nothing more."""

    def idle(self) -> None:
        """Nothing is in flight."""


@attrs.define(kw_only=True)
class Phase:
    """The current phase, for the rest of the daemon to read."""

    # Name of a state of the state machine below.
    name: str = "starting"
    # Called when the daemon has stopped.
    on_stopped: Callable[[], None] = attrs.field(default=lambda: None)
    # Returns the time since the signal to stop, in seconds; -1 without one.
    since_signal_s: Callable[[], float] = attrs.field(default=lambda: -1.0)
    # Whether the requests that had not ended have been ended.
    has_ended_work: bool = False

    @property
    def is_ready(self) -> bool:
        """Whether the daemon is ready for new work."""
        return self.name == "serving"

    @property
    def stage(self) -> str:
        """The phase for a log; "ending" once open requests were ended."""
        is_ending = self.has_ended_work and self.name == "draining"
        return "ending" if is_ending else self.name

    @property
    def is_closed(self) -> bool:
        """Whether new work is refused."""
        return self.name in ("draining", "stopped")


builder = TypeMachineBuilder(Lifecycle, Phase)
starting = builder.state("starting")
serving = builder.state("serving")
leaving = builder.state("leaving")
draining = builder.state("draining")
stopped = builder.state("stopped")


@starting.upon(Lifecycle.ready).to(serving)
def _(lifecycle: Lifecycle, phase: Phase) -> None:
    phase.name = "serving"


@starting.upon(Lifecycle.shut_down).to(leaving)
@serving.upon(Lifecycle.shut_down).to(leaving)
def _(lifecycle: Lifecycle, phase: Phase) -> None:
    phase.name = "leaving"


@leaving.upon(Lifecycle.balancer_noticed).to(draining)
def _(lifecycle: Lifecycle, phase: Phase) -> None:
    phase.name = "draining"


@draining.upon(Lifecycle.idle).to(stopped)
def _(lifecycle: Lifecycle, phase: Phase) -> None:
    phase.name = "stopped"
    phase.on_stopped()


# Events that change nothing in these states.
for _state, _event in (
    (starting, Lifecycle.balancer_noticed),
    (starting, Lifecycle.idle),
    (serving, Lifecycle.ready),
    (serving, Lifecycle.balancer_noticed),
    (serving, Lifecycle.idle),
    (leaving, Lifecycle.ready),
    (leaving, Lifecycle.shut_down),
    (leaving, Lifecycle.idle),
    (draining, Lifecycle.ready),
    (draining, Lifecycle.shut_down),
    (draining, Lifecycle.balancer_noticed),
    (stopped, Lifecycle.ready),
    (stopped, Lifecycle.shut_down),
    (stopped, Lifecycle.balancer_noticed),
    (stopped, Lifecycle.idle),
):
    _state.upon(_event).loop().returns(None)

make_lifecycle = builder.build()
