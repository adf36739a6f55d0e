"""In-memory transports on a virtual clock, with faults.

Small fakes of the connections between processes, for tests, the soak run and
experiments: latency, cuts, killed and paused processes, and chunks that
arrive late, crossed or twice.  The processes' own code is the real one.
"""

import random
from collections.abc import Callable
from functools import partial
from typing import Any, Final, TypeVar

import attrs
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred

from sequoiawind import messages, openai_format
from sequoiawind.cache_index import CacheEvents, CacheList
from sequoiawind.lab.engine_model import EngineModel
from sequoiawind.ports import Call, Clock, Sink, TargetPort, Timer
from sequoiawind.verdict import Failure, Reason, may_have_run, not_run
from sequoiawind.wire import (
    Attempt,
    Ended,
    LoadReport,
    Probe,
    ProbeAnswer,
)

T = TypeVar("T")

# A chunk of somebody else's answer.
FOREIGN: Final = openai_format.token_chunk(
    openai_format.TEXT_PATH, "other", "other", "foreign "
)


@attrs.define(kw_only=True, eq=False)
class Node:
    """A process: it may be killed, restarted or paused."""

    name: str
    is_up: bool = True
    is_paused: bool = False
    # Changes with every restart.
    epoch: int = 0
    # What arrived while paused.
    held: list[Callable[[], None]] = attrs.field(factory=list)
    connections: list["Connection"] = attrs.field(factory=list)

    def run(self, epoch: int, action: Callable[[], None]) -> None:
        """Do something in this process, if it still is the same one."""
        if not self.is_up or epoch != self.epoch:
            return
        if self.is_paused:
            self.held.append(partial(self.run, epoch, action))
            return
        action()

    def kill(self) -> None:
        """End the process; its connections break."""
        self.is_up = False
        self.is_paused = False
        self.epoch += 1
        self.held.clear()
        for connection in list(self.connections):
            connection.cut()

    def restart(self) -> None:
        """Start a new process of this name."""
        self.is_up = True

    def pause(self) -> None:
        """Stop the process in its tracks."""
        self.is_paused = True

    def resume(self) -> None:
        """Let a paused process go on."""
        self.is_paused = False
        held, self.held = self.held, []
        for action in held:
            action()


@attrs.define(kw_only=True)
class NodeClock:
    """The clock of one process: its timers die and pause with it."""

    clock: Clock
    node: Node

    def seconds(self) -> float:
        """Return the time in seconds."""
        return self.clock.seconds()

    def callLater(  # noqa: N802
        self,
        delay: float,
        callable: Callable[..., object],
        *args: object,
        **kw: object,
    ) -> Timer:
        """Call a function later, in this process."""

        def act() -> None:
            callable(*args, **kw)

        timer: Timer = self.clock.callLater(
            delay, self.node.run, self.node.epoch, act
        )
        return timer


@attrs.define(kw_only=True)
class ChunkFaults:
    """Shares of chunks that meet each fault."""

    lost: float = 0.0
    doubled: float = 0.0
    crossed: float = 0.0
    foreign: float = 0.0
    # Share of connections that break at some chunk.
    broken: float = 0.0
    # Processes whose chunks are affected, by the beginning of their names.
    sender: str = ""


@attrs.define(kw_only=True)
class Network:
    """Connects the processes of one run."""

    clock: Clock
    random: random.Random
    latency_s: float = 0.0005
    faults: ChunkFaults = attrs.field(factory=ChunkFaults)

    def send(self, node: Node, action: Callable[[], None]) -> None:
        """Do something in a process after the network's latency."""
        self.clock.callLater(self.latency_s, node.run, node.epoch, action)


@attrs.define(kw_only=True, eq=False)
class Connection:
    """One attempt between two processes; the far sink sends back through it."""

    network: Network
    near: Node
    far: Node
    sink: Sink
    far_call: Call | None = None
    is_closed: bool = False
    held_back: list[Callable[[], None]] = attrs.field(factory=list)

    def open(self, port: TargetPort, address: str, attempt: Attempt) -> None:
        """Open the attempt at the far process."""
        if not self.far.is_up:
            refused = not_run(Reason.CONNECT_FAILED, messages.CONNECT_FAILED)
            self.network.send(
                self.near, partial(self.deliver_end, Ended(failure=refused))
            )
            return
        self.near.connections.append(self)
        self.far.connections.append(self)
        arrive = partial(self.arrive, port, address, attempt)
        self.network.send(self.far, arrive)

    def arrive(self, port: TargetPort, address: str, attempt: Attempt) -> None:
        """The attempt has reached the far process."""
        if not self.is_closed:
            self.far_call = port.open(address, attempt, self)

    def started(self, load: LoadReport) -> None:
        """The far process has admitted the attempt."""
        self.back(partial(self.sink.started, load))

    def chunk(self, attempt_id: str, index: int, data: bytes) -> None:
        """The far process sends a chunk."""
        faults = self.network.faults
        if not self.far.name.startswith(faults.sender):
            faults = ChunkFaults()
        draw = self.network.random.random
        deliver = partial(self.sink.chunk, attempt_id, index, data)
        if faults.foreign and draw() < faults.foreign:
            self.back(partial(self.sink.chunk, "other", index, FOREIGN))
        if faults.broken and draw() < faults.broken:
            self.cut()
            return
        if faults.lost and draw() < faults.lost:
            return
        if faults.crossed and draw() < faults.crossed:
            self.held_back.append(deliver)
            return
        self.back(deliver)
        if faults.doubled and draw() < faults.doubled:
            self.back(deliver)
        self.release_held()

    def release_held(self) -> None:
        """Send the chunks that others have overtaken."""
        held, self.held_back = self.held_back, []
        for deliver in held:
            self.back(deliver)

    def ended(self, ended: Ended) -> None:
        """The far process ends the attempt."""
        self.release_held()
        self.back(partial(self.deliver_end, ended))

    def back(self, action: Callable[[], None]) -> None:
        """Do something in the near process."""

        def act() -> None:
            if not self.is_closed:
                action()

        self.network.send(self.near, act)

    def deliver_end(self, ended: Ended) -> None:
        """End the attempt in the near process."""
        self.close()
        self.sink.ended(ended)

    def close(self) -> None:
        """Forget the connection."""
        self.is_closed = True
        for node in (self.near, self.far):
            if self in node.connections:
                node.connections.remove(self)

    def cut(self) -> None:
        """Break the connection: each side learns of it."""
        if self.is_closed:
            return
        self.close()
        lost = may_have_run(Reason.CONNECTION_LOST, messages.CONNECTION_LOST)
        self.network.send(
            self.near, partial(self.sink.ended, Ended(failure=lost))
        )
        detach = getattr(self.far_call, "detach", None)
        if detach is None and self.far_call is not None:
            detach = self.far_call.cancel
        if detach is not None:
            self.network.send(self.far, detach)

    def cancel(self) -> None:
        """Cancel the attempt from the near process."""
        if self.is_closed:
            return
        self.close()

        def cancel_far() -> None:
            if self.far_call is not None:
                self.far_call.cancel()

        self.network.send(self.far, cancel_far)


@attrs.define(kw_only=True)
class MemoryPort:
    """A `TargetPort` from one process to the others."""

    network: Network
    near: Node
    # Returns the process and port at an address.
    look_up: Callable[[str], tuple[Node, Any]]

    def open(self, address: str, attempt: Attempt, sink: Sink) -> Call:
        """Open an attempt at an address."""
        far, port = self.look_up(address)
        connection = Connection(
            network=self.network, near=self.near, far=far, sink=sink
        )
        connection.open(port, address, attempt)
        return connection

    def probe(
        self, address: str, probe: Probe
    ) -> Deferred[Result[ProbeAnswer, Failure]]:
        """Ask the agent of an address; no answer from one that is down."""
        far, port = self.look_up(address)
        done: Deferred[Result[ProbeAnswer, Failure]] = Deferred()

        def answer(result: Result[ProbeAnswer, Failure]) -> None:
            if not done.called:
                done.callback(result)

        def ask() -> None:
            found: Result[ProbeAnswer, Failure] = Ok(port.probe(probe))
            self.network.send(self.near, partial(answer, found))

        if far.is_up:
            self.network.send(far, ask)
        else:
            refused = not_run(Reason.CONNECT_FAILED, messages.CONNECT_FAILED)
            self.network.send(self.near, partial(answer, Error(refused)))
        return done


@attrs.define(kw_only=True)
class MemoryEnginePort:
    """An `EnginePort` straight to an engine model."""

    engine: EngineModel

    def events_after(
        self, sequence: int
    ) -> Deferred[Result[CacheEvents, Failure]]:
        """Return the cache events from a sequence number on."""
        return self.answer(lambda: self.engine.events_after(sequence))

    def cache_list(self) -> Deferred[Result[CacheList, Failure]]:
        """Return all cached blocks."""
        return self.answer(self.engine.cache_list)

    def load(self) -> Deferred[Result[LoadReport, Failure]]:
        """Return the engine's own report."""
        return self.answer(self.engine.load)

    def order_version(
        self, version: str, fencing: int
    ) -> Deferred[Result[bool, Failure]]:
        """Order other weights."""
        return self.answer(lambda: self.engine.order_version(version, fencing))

    def answer(self, ask: Callable[[], T]) -> Deferred[Result[T, Failure]]:
        """Ask the engine, if it is up."""
        done: Deferred[Result[T, Failure]] = Deferred()
        if self.engine.is_down:
            down = not_run(Reason.CONNECT_FAILED, messages.CONNECT_FAILED)
            done.callback(Error(down))
        else:
            done.callback(Ok(ask()))
        return done
