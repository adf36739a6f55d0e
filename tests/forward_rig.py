"""Test rig: a router's forwarding with fake targets, on a virtual clock."""

import random
from typing import Any

import attrs
import structlog
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sequoiawind.allowed_weights import AllowedWeights
from sequoiawind.blackboard import Blackboard
from sequoiawind.cache_watcher import CacheWatcher
from sequoiawind.config_fold import Folded
from sequoiawind.crash_registry import CrashRegistry
from sequoiawind.fleet import Fleet
from sequoiawind.forward_plan import ForwardRequest, Planner
from sequoiawind.forward_ports import (
    AnswerHead,
    CacheChanges,
    ForwardSink,
    MoveOrder,
    SendOrder,
)
from sequoiawind.forward_state import (
    ForwardAccount,
    ForwardKind,
    ForwardPool,
    ForwardRoute,
    ForwardState,
    ForwardTarget,
)
from sequoiawind.forwarder import Forwarder
from sequoiawind.freshness import Freshness
from sequoiawind.headers import Headers
from sequoiawind.lab.memory_crash_log import MemoryCrashLog
from sequoiawind.lab.memory_origin_log import MemoryOriginLog
from sequoiawind.lab.memory_software_log import MemorySoftwareLog
from sequoiawind.origin_registry import OriginRegistry
from sequoiawind.prompt_cache import Prompt, PromptPart
from sequoiawind.repeat_window import RepeatWindow
from sequoiawind.rollout import TargetReport
from sequoiawind.software_records import SoftwareRecords
from sequoiawind.tokens import token_digest
from sequoiawind.verdict import Failure, Reason, not_run

KEY = "key-of-a"
# What an idle target reports.
REPORT = TargetReport(
    versions={"m": 1},
    is_busy=False,
    orders=0,
    waiting=0,
    running=0,
    runs=(),
    used_tokens=0,
    is_draining=False,
    born_ms=1,
)


@attrs.define(kw_only=True, eq=False)
class FakeCall:
    """A call that only records whether it was cancelled."""

    is_cancelled: bool = False

    def cancel(self) -> None:
        """Record the cancellation."""
        self.is_cancelled = True


@attrs.define(kw_only=True, eq=False)
class Sent:
    """A request that reached the fake port."""

    order: SendOrder
    sink: ForwardSink
    call: FakeCall = attrs.field(factory=FakeCall)

    def answer(
        self, status: int, body: bytes = b"", refusal: Failure | None = None
    ) -> None:
        """Deliver a complete answer."""
        self.sink.head(AnswerHead(status=status, headers=[], refusal=refusal))
        if body:
            self.sink.data(body)
        self.sink.done()

    def begin(self, status: int, body: bytes = b"") -> None:
        """Deliver an answer's head and first data, without its end."""
        self.sink.head(AnswerHead(status=status, headers=[]))
        if body:
            self.sink.data(body)


@attrs.define(kw_only=True, eq=False)
class FakePort:
    """Records the requests and move orders that are sent."""

    sent: list[Sent] = attrs.field(factory=list)
    # Requested moves, and their pending answers.
    moves: list[MoveOrder] = attrs.field(factory=list)
    move_answers: list[Deferred[Result[str, Failure]]] = attrs.field(
        factory=list
    )
    # Answers to calls that copy a run that goes on, in the order of the calls.
    # `reserved` is the answer to each of them; None to leave them unanswered.
    reservations: list[Deferred[Result[str, Failure]]] = attrs.field(
        factory=list
    )
    reserved: Result[str, Failure] | None = attrs.field(
        factory=lambda: Ok("ip:1/room")
    )
    # Locations of moved runs whose memory was released.
    released_runs: list[str] = attrs.field(factory=list)

    async def move(
        self, order: MoveOrder, timeout_s: float
    ) -> Result[str, Failure]:
        """Record a move order, and wait for the test's answer."""
        self.moves.append(order)
        self.move_answers.append(Deferred())
        return await self.move_answers[-1]

    async def reserve_move(
        self, order: MoveOrder, timeout_s: float
    ) -> Result[str, Failure]:
        """Answer as set, or wait for the test's answer."""
        self.reservations.append(Deferred())
        if self.reserved is not None:
            self.reservations[-1].callback(self.reserved)
        return await self.reservations[-1]

    def release_moved_run(self, moved_from: str) -> None:
        """Record the release of a moved run's memory."""
        self.released_runs.append(moved_from)

    def send(self, order: SendOrder, sink: ForwardSink) -> FakeCall:
        """Record a request."""
        self.sent.append(Sent(order=order, sink=sink))
        return self.sent[-1].call

    async def cache_changes(
        self, address: str, since: int, wait_s: float, timeout_s: float
    ) -> Result[CacheChanges, Failure]:
        """Refuse, like a target that has too many watchers."""
        return Error(not_run(Reason.TARGET_BUSY))


@attrs.define(kw_only=True, eq=False)
class FakeCaller:
    """Records the answer that a caller gets."""

    statuses: list[int] = attrs.field(factory=list)
    body: bytes = b""
    failure: Failure | None = None
    is_broken: bool = False
    is_ended: bool = False
    # Whether the caller reads slowly.
    is_choked: bool = False

    def send_head(self, status: int, headers: Headers) -> None:
        """Record a head."""
        self.statuses.append(status)

    def send_data(self, data: bytes) -> None:
        """Record a part of the body."""
        self.body += data

    def send_end(self) -> None:
        """Record the end."""
        self.is_ended = True

    def reply(self, status: int, headers: Headers, body: bytes) -> None:
        """Record a complete answer."""
        self.statuses.append(status)
        self.body += body
        self.is_ended = True

    def abort_answer(self) -> None:
        """Record that the answer was aborted."""
        self.is_broken = True

    def refuse(self, failure: Failure) -> None:
        """Record a refusal."""
        self.failure = failure


def kind(name: str, **fields: Any) -> ForwardKind:
    """Return a request kind with default limits and the given fields."""
    defaults: dict[str, Any] = {
        "repeat": "never",
        "max_targets": 2,
        "timeout_s": 5.0,
        "aim_s": 0.5,
        "pause_s": 0.4,
    }
    return ForwardKind(name=name, **{**defaults, **fields})


KINDS = {
    "read": kind("read", repeat="idempotent"),
    "book": kind("book"),
    "brief": kind("brief", is_stream=True),
    "draft": kind("draft", is_stream=True, is_resumable=True),
}


def state(revision: int = 1, **fields: Any) -> ForwardState:
    """Return a configuration with a route for each kind."""
    defaults: dict[str, Any] = {
        "accounts": {
            "a/0": ForwardAccount(name="a", token_digest=token_digest(KEY))
        },
        "kinds": KINDS,
        "routes": {
            name: ForwardRoute(
                name=name,
                host="h",
                path=f"/{name}/",
                kind=name,
                pool="llm" if KINDS[name].is_stream else "app",
            )
            for name in KINDS
        },
        "pools": {
            "app": ForwardPool(name="app", service="plain"),
            "llm": ForwardPool(name="llm", models=("m",), memory_tokens=10_000),
        },
    }
    return ForwardState(revision=revision, **{**defaults, **fields})


def target(name: str, pool: str = "app", **fields: Any) -> ForwardTarget:
    """Return a target with default fields."""
    versions = {"m": 1} if pool == "llm" else {}
    defaults: dict[str, Any] = {
        "address": f"{name}:80",
        "slots": 4,
        "versions": versions,
    }
    return ForwardTarget(name=name, pool=pool, **{**defaults, **fields})


@attrs.define(kw_only=True, eq=False)
class ForwardRig:
    """One router with its state, fake port and clock."""

    clock: Clock = attrs.field(factory=Clock)
    board: Blackboard = attrs.field(factory=Blackboard)
    fleet: Fleet = attrs.field(factory=lambda: Fleet(random=random.Random(1)))
    port: FakePort = attrs.field(factory=FakePort)
    origin_log: MemoryOriginLog = attrs.field(factory=MemoryOriginLog)
    software_log: MemorySoftwareLog = attrs.field(factory=MemorySoftwareLog)
    crash_log: MemoryCrashLog = attrs.field(factory=MemoryCrashLog)
    freshness: Freshness = attrs.field(init=False)
    forwarder: Forwarder = attrs.field(init=False)
    request_count: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the router with a current configuration."""
        self.freshness = Freshness(
            revoke_s=5.0, in_force_s=2.0, now=self.clock.seconds
        )
        self.freshness.confirmed(0.0)
        self.forwarder = Forwarder(
            board=self.board,
            fleet=self.fleet,
            planner=Planner(
                board=self.board,
                freshness=self.freshness,
                random=random.Random(1),
            ),
            port=self.port,
            caches=CacheWatcher(
                port=self.port,
                clock=self.clock,
                random=random.Random(1),
                log=structlog.get_logger(),
            ),
            origins=OriginRegistry(
                port=self.origin_log,
                software=SoftwareRecords(
                    port=self.software_log,
                    board=self.board,
                    fleet=self.fleet,
                    freshness=self.freshness,
                    clock=self.clock,
                    log=structlog.get_logger(),
                    random=random.Random(1),
                ),
                fleet=self.fleet,
                freshness=self.freshness,
                clock=self.clock,
                log=structlog.get_logger(),
            ),
            crashes=CrashRegistry(
                node="r1",
                port=self.crash_log,
                clock=self.clock,
                age_clock=self.clock.seconds,
                wall_ms=lambda: int(self.clock.seconds() * 1000),
                log=structlog.get_logger(),
            ),
            clock=self.clock,
            window=RepeatWindow(ratio=0.2, allowance=200.0, window_s=10.0),
            random=random.Random(1),
            domain="d1",
            weights=AllowedWeights(
                clock=self.clock,
                weights_s=6.0,
                settle_s=3.0,
            ),
        )
        self.configure(state())

    def configure(self, new: ForwardState) -> None:
        """Apply a configuration."""
        folded = Folded(state=new, next_offset=new.revision + 1)
        self.board.put_config(folded)

    def add(self, *targets: ForwardTarget) -> None:
        """Register targets."""
        for item in targets:
            self.fleet.put(item)
        self.forwarder.origins.targets_changed()

    def request(self, route: str, **fields: Any) -> ForwardRequest:
        """Return a request for a route."""
        self.request_count += 1
        prompt = Prompt(
            model="m",
            tokens=300,
            max_tokens=10,
            parts=(
                PromptPart(id="shared", tokens=200),
                PromptPart(id=f"own{self.request_count}", tokens=100),
            ),
        )
        defaults: dict[str, Any] = {
            "request_id": f"q{self.request_count}",
            "host": "h",
            "path": f"/{route}/x",
            "method": b"POST",
            "request_target": f"/{route}/x".encode(),
            "headers": [],
            "body": b"body of %d" % self.request_count,
            "key": KEY,
            "arrived_s": self.clock.seconds(),
            "read_s": self.clock.seconds(),
            "deadline_s": 5.0,
            "prompt": prompt if KINDS[route].is_stream else None,
        }
        return ForwardRequest(**{**defaults, **fields})

    def submit(self, route: str, **fields: Any) -> FakeCaller:
        """Submit a request and return its caller."""
        caller = FakeCaller()
        self.forwarder.submit(self.request(route, **fields), caller)
        return caller

    def advance(self, seconds: float) -> None:
        """Advance the clock in small steps; the store confirms after each."""
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            self.freshness.confirmed(self.clock.seconds())
