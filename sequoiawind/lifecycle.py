"""The life of a daemon: starting, serving, draining, stopped.

A state machine makes the order of the steps explicit: a daemon that drains
never serves again, and it stops only when nothing is in flight.
"""

from collections.abc import Callable
from typing import Protocol

import attrs
from automat import TypeMachineBuilder


class Lifecycle(Protocol):
    """Events in the life of a daemon."""

    def ready(self) -> None:
        """The daemon can serve."""

    def shut_down(self) -> None:
        """The daemon has been told to stop."""

    def idle(self) -> None:
        """Nothing is in flight."""


@attrs.define(kw_only=True)
class Phase:
    """What the rest of the daemon may ask about its life."""

    name: str = "starting"
    # Called when the daemon has stopped.
    on_stopped: Callable[[], None] = attrs.field(default=lambda: None)

    @property
    def is_ready(self) -> bool:
        """Whether new work is welcome."""
        return self.name == "serving"

    @property
    def is_leaving(self) -> bool:
        """Whether the daemon has been told to stop."""
        return self.name in ("draining", "stopped")


builder = TypeMachineBuilder(Lifecycle, Phase)
starting = builder.state("starting")
serving = builder.state("serving")
draining = builder.state("draining")
stopped = builder.state("stopped")


@starting.upon(Lifecycle.ready).to(serving)
def _(lifecycle: Lifecycle, phase: Phase) -> None:
    phase.name = "serving"


@starting.upon(Lifecycle.shut_down).to(draining)
@serving.upon(Lifecycle.shut_down).to(draining)
def _(lifecycle: Lifecycle, phase: Phase) -> None:
    phase.name = "draining"


@draining.upon(Lifecycle.idle).to(stopped)
def _(lifecycle: Lifecycle, phase: Phase) -> None:
    phase.name = "stopped"
    phase.on_stopped()


# Events that change nothing in these states.
serving.upon(Lifecycle.ready).loop().returns(None)
starting.upon(Lifecycle.idle).loop().returns(None)
serving.upon(Lifecycle.idle).loop().returns(None)
draining.upon(Lifecycle.ready).loop().returns(None)
draining.upon(Lifecycle.shut_down).loop().returns(None)
stopped.upon(Lifecycle.ready).loop().returns(None)
stopped.upon(Lifecycle.shut_down).loop().returns(None)
stopped.upon(Lifecycle.idle).loop().returns(None)

make_lifecycle = builder.build()
