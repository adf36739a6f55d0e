"""In-memory transports on a virtual clock, with fault injection.

Small fakes of the connections between processes, for tests, the soak run and
experiments.  They model latency, broken connections, killed and paused
processes, and chunks that arrive late, out of order or twice.  The code of the
processes is the real one.
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

# A chunk of an answer to another request.
FOREIGN: Final = openai_format.token_chunk(
    openai_format.TEXT_PATH, "other", "other", "foreign "
)


@attrs.define(kw_only=True, eq=False)
class Node:
    """A simulated process that can be killed, restarted and paused."""

    name: str
    is_up: bool = True
    is_paused: bool = False
    # Incremented by every kill: callbacks of an earlier epoch are dropped.
    epoch: int = 0
    # Callbacks that arrived while the process was paused.
    held: list[Callable[[], None]] = attrs.field(factory=list)
    connections: list["Connection"] = attrs.field(factory=list)

    def run(self, epoch: int, action: Callable[[], None]) -> None:
        """Run a callback in this process.

        It is dropped if the process has been killed since `epoch`, and held
        until `resume` while the process is paused.
        """
        if not self.is_up or epoch != self.epoch:
            return
        if self.is_paused:
            self.held.append(partial(self.run, epoch, action))
            return
        action()

    def kill(self) -> None:
        """Kill the process and break its connections."""
        self.is_up = False
        self.is_paused = False
        self.epoch += 1
        self.held.clear()
        for connection in list(self.connections):
            connection.cut()

    def restart(self) -> None:
        """Start a new process under the same name."""
        self.is_up = True

    def pause(self) -> None:
        """Suspend the process: callbacks are held until `resume`."""
        self.is_paused = True

    def resume(self) -> None:
        """Resume the process and run the callbacks held meanwhile."""
        self.is_paused = False
        held, self.held = self.held, []
        for action in held:
            action()


@attrs.define(kw_only=True)
class NodeClock:
    """The clock of one process.

    Its timers do nothing once the process has been killed, and are delayed
    while it is paused.
    """

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
        """Call a function in this process after a delay in seconds."""

        def act() -> None:
            callable(*args, **kw)

        timer: Timer = self.clock.callLater(
            delay, self.node.run, self.node.epoch, act
        )
        return timer


@attrs.define(kw_only=True)
class ChunkFaults:
    """Probability of each fault, drawn for every chunk."""

    lost: float = 0.0
    duplicated: float = 0.0
    # Probability that the chunk is held back until after a later one.
    reordered: float = 0.0
    # Probability that a chunk of another request is sent before it.
    foreign: float = 0.0
    # Probability that the connection breaks at a chunk.
    broken: float = 0.0
    # Prefix of the names of the sending processes that are affected.
    sender: str = ""


@attrs.define(kw_only=True)
class Network:
    """The network between the processes of one run."""

    clock: Clock
    random: random.Random
    latency_s: float = 0.0005
    faults: ChunkFaults = attrs.field(factory=ChunkFaults)

    def send(self, node: Node, action: Callable[[], None]) -> None:
        """Run a callback in a process after the network's latency."""
        self.clock.callLater(self.latency_s, node.run, node.epoch, action)


@attrs.define(kw_only=True, eq=False)
class Connection:
    """The connection of one attempt from the near to the far process.

    The near process opens the attempt and the far process runs it.  The
    connection is the near process's `Call`, and the far process's `Sink`: it
    passes what the far process sends on to the near process's sink.
    """

    network: Network
    near: Node
    far: Node
    sink: Sink
    far_call: Call | None = None
    is_closed: bool = False
    # Chunks that are held back to reorder them.
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
        """Pass the attempt to the far process's port."""
        if not self.is_closed:
            self.far_call = port.open(address, attempt, self)

    def started(self, load: LoadReport) -> None:
        """Report to the near process that the attempt has been admitted."""
        self.send_back(partial(self.sink.started, load))

    def chunk(self, attempt_id: str, index: int, data: bytes) -> None:
        """Send a chunk to the near process, subject to the faults."""
        faults = self.network.faults
        if not self.far.name.startswith(faults.sender):
            faults = ChunkFaults()
        draw = self.network.random.random
        deliver = partial(self.sink.chunk, attempt_id, index, data)
        if faults.foreign and draw() < faults.foreign:
            self.send_back(partial(self.sink.chunk, "other", index, FOREIGN))
        if faults.broken and draw() < faults.broken:
            self.cut()
            return
        if faults.lost and draw() < faults.lost:
            return
        if faults.reordered and draw() < faults.reordered:
            self.held_back.append(deliver)
            return
        self.send_back(deliver)
        if faults.duplicated and draw() < faults.duplicated:
            self.send_back(deliver)
        self.release_held()

    def release_held(self) -> None:
        """Send the chunks held back."""
        held, self.held_back = self.held_back, []
        for deliver in held:
            self.send_back(deliver)

    def ended(self, ended: Ended) -> None:
        """Send the chunks held back, then the end of the attempt."""
        self.release_held()
        self.send_back(partial(self.deliver_end, ended))

    def send_back(self, action: Callable[[], None]) -> None:
        """Run a callback in the near process if the connection is open."""

        def act() -> None:
            if not self.is_closed:
                action()

        self.network.send(self.near, act)

    def deliver_end(self, ended: Ended) -> None:
        """Close the connection and end the attempt in the near process."""
        self.close()
        self.sink.ended(ended)

    def close(self) -> None:
        """Close the connection and remove it from both processes."""
        self.is_closed = True
        for node in (self.near, self.far):
            if self in node.connections:
                node.connections.remove(self)

    def cut(self) -> None:
        """Break the connection and notify both processes."""
        if self.is_closed:
            return
        self.close()
        lost = may_have_run(Reason.CONNECTION_LOST, messages.CONNECTION_LOST)
        self.network.send(
            self.near, partial(self.sink.ended, Ended(failure=lost))
        )
        self.detach_far()

    def detach_far(self) -> None:
        """Notify the far process that the connection has ended."""
        detach = getattr(self.far_call, "detach", None)
        if detach is None and self.far_call is not None:
            detach = self.far_call.cancel
        if detach is not None:
            self.network.send(self.far, detach)

    def detach(self) -> None:
        """Close the connection from the near process."""
        if not self.is_closed:
            self.close()
            self.detach_far()

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

    def open(self, address: str, attempt: Attempt, sink: Sink) -> Connection:
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
        """Probe the agent at an address; fails if its process is down."""
        far, port = self.look_up(address)
        done: Deferred[Result[ProbeAnswer, Failure]] = Deferred()

        def answer(result: Result[ProbeAnswer, Failure]) -> None:
            if not done.called:
                done.callback(result)

        def arrive() -> None:
            probed: Result[ProbeAnswer, Failure] = Ok(port.probe(probe))
            self.network.send(self.near, partial(answer, probed))

        if far.is_up:
            self.network.send(far, arrive)
        else:
            refused = not_run(Reason.CONNECT_FAILED, messages.CONNECT_FAILED)
            self.network.send(self.near, partial(answer, Error(refused)))
        return done


@attrs.define(kw_only=True)
class MemoryEnginePort:
    """An `EnginePort` that calls an engine model directly."""

    engine: EngineModel

    def events_from(
        self, sequence: int
    ) -> Deferred[Result[CacheEvents, Failure]]:
        """Return the cache events from a sequence number on."""
        return self.answer(lambda: self.engine.events_from(sequence))

    def cache_list(self) -> Deferred[Result[CacheList, Failure]]:
        """Return all cached blocks."""
        return self.answer(self.engine.cache_list)

    def load(self) -> Deferred[Result[LoadReport, Failure]]:
        """Return the engine's load report."""
        return self.answer(self.engine.load)

    def order_version(
        self, version: str, fencing: int
    ) -> Deferred[Result[bool, Failure]]:
        """Order the engine to load other weights."""
        return self.answer(lambda: self.engine.order_version(version, fencing))

    def answer(self, call: Callable[[], T]) -> Deferred[Result[T, Failure]]:
        """Return the result of a call; an error if the engine is down."""
        done: Deferred[Result[T, Failure]] = Deferred()
        if self.engine.is_down:
            down = not_run(Reason.CONNECT_FAILED, messages.CONNECT_FAILED)
            done.callback(Error(down))
        else:
            done.callback(Ok(call()))
        return done
