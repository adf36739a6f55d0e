"""Reads the feed of another process: from a relay, or from a single agent."""

import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Final, Protocol
from urllib.parse import urlencode

import attrs
import structlog
from twisted.internet.defer import Deferred

from sequoiawind import feed_messages, feed_statement, supervise, timing
from sequoiawind.feed_messages import FEED_PATH, FeedReply
from sequoiawind.feed_statement import Statement
from sequoiawind.feed_table import Level
from sequoiawind.http1_client import Http1Client, OutgoingRequest
from sequoiawind.http1_fetch import fetch
from sequoiawind.ports import Clock
from sequoiawind.wire import WireError

Logger = structlog.typing.FilteringBoundLogger

# How long a process may hold a request until something changes, in seconds.
HOLD_S: Final = 0.5
# Time allowed for a response, in seconds, in addition to that, and between two
# parts of one.
RESPONSE_MARGIN_S: Final = 0.35
# How long a process that did not answer is avoided, in seconds.
AVOID_S: Final = 3.0
# Pause when no process answers, in seconds, and its jitter as a share.
RETRY_S: Final = 0.25
RETRY_JITTER: Final = 0.5
# Outcomes of a request for the feed.
WHOLE: Final = "whole"
CHANGES: Final = "changes"
FAILED: Final = "failed"
INVALID: Final = "invalid"
# Age of the last reply after which the feed counts as lost, in seconds.
LIVE_S: Final = 1.2


@attrs.frozen(kw_only=True)
class FeedQuery:
    """What a reader asks for."""

    # Name of the reader, and whether it is a router.
    reader: str
    is_router: bool
    run: int
    after: int
    level: Level
    # Whether only the store's records are wanted.
    is_records_only: bool = False
    # Demand of the router that asks, in requests a second.
    demand_per_s: float = 0.0
    # What that router states; None if it cannot be read.
    statement: Statement | None = feed_statement.EMPTY
    # Whether the last reply was not all there was, so that there is nothing to
    # wait for.
    is_continuing: bool = False

    def arguments(self) -> dict[str, str | int | float]:
        """Return the arguments of the request; an empty statement has none."""
        arguments: dict[str, str | int | float] = {
            "reader": self.reader,
            "router": int(self.is_router),
            "run": self.run,
            "after": self.after,
            "level": int(self.level),
            "records": int(self.is_records_only),
            "demand": round(self.demand_per_s, 3),
        }
        if self.is_continuing:
            arguments["more"] = 1
        if self.statement is not None and self.statement.units:
            arguments["statement"] = feed_statement.encode(self.statement)
        return arguments


class FeedPort(Protocol):
    """Sends requests for the feed."""

    async def read(
        self, address: str, query: FeedQuery, timeout_s: float
    ) -> FeedReply | None:
        """Return the reply; None if there was no valid one in time."""


@attrs.define(kw_only=True)
class HttpFeedPort:
    """Reads feeds over HTTP."""

    client: Http1Client
    log: Logger
    # Called after each request with its outcome and the size of the reply in
    # bytes.
    on_read: Callable[[str, int], None] = attrs.field(
        default=lambda outcome, size: None
    )

    async def read(
        self, address: str, query: FeedQuery, timeout_s: float
    ) -> FeedReply | None:
        """Return the reply; None if there was no valid one in time."""
        arguments = urlencode(query.arguments())
        request = OutgoingRequest(
            method=b"GET",
            request_target=FEED_PATH + b"?" + arguments.encode(),
            headers=[(b"host", address.encode())],
        )
        result = await fetch(
            self.client, address, request, timeout_s, RESPONSE_MARGIN_S
        )
        if result.is_error() or result.ok.status != 200:
            self.on_read(FAILED, 0)
            self.log.warning(
                "feed read failed",
                agent=address,
                after=query.after,
                detail=result.error.detail
                if result.is_error()
                else f"status {result.ok.status}",
            )
            return None
        body = result.ok.body
        try:
            reply = feed_messages.decode(body)
        except WireError as error:
            self.on_read(INVALID, len(body))
            self.log.warning(
                "cannot decode feed", agent=address, error=str(error)
            )
            return None
        self.on_read(WHOLE if reply.is_whole else CHANGES, len(body))
        return reply


@attrs.define(kw_only=True)
class FeedClient:
    """Controller that reads one feed from the first process that answers."""

    reader: str
    is_router: bool = False
    level: Level
    is_records_only: bool = False
    # Returns the addresses to read from, preferred ones first.
    candidates: Callable[[], Sequence[str]]
    port: FeedPort
    clock: Clock
    # Clock for the age of what the replies say; it counts suspensions.
    age_clock: Callable[[], float]
    random: random.Random
    log: Logger
    # Called with each reply and the time at which its request was sent, in
    # seconds of `age_clock`.
    on_reply: Callable[[FeedReply, float], None]
    # Returns the demand to state, in requests a second, and what was stated.
    demand_per_s: Callable[[], float] = attrs.field(default=lambda: 0.0)
    stated_demand_per_s: float = 0.0
    # Returns the figures to state, by key; called for each request.
    statement: Callable[[], Mapping[str, float]] = attrs.field(
        default=lambda: {}
    )
    # What the last request that was answered contained: the largest of these
    # figures, rounded.
    stated: Mapping[str, float] = attrs.field(factory=dict)
    # Stamp of the last statement.  It starts from the wall clock, so that it
    # is greater than those of an earlier process.
    stamp: int = attrs.field(factory=lambda: time.time_ns() // 1_000_000)
    # Address of the last reply; empty if the last request failed.
    address: str = ""
    run_id: int = 0
    after: int = -1
    has_more: bool = False
    # Time of the last reply, in seconds of the clock.
    replied_s: float = float("-inf")
    # Times until which addresses are avoided, in seconds of the clock.
    avoided_until_s: dict[str, float] = attrs.field(factory=dict)
    is_stopped: bool = False
    # Fires at the end of the pause in which no process answers; None otherwise.
    pause: Deferred[None] | None = None

    @property
    def live_s(self) -> float:
        """Time until the feed counts as lost, in seconds."""
        return self.replied_s + LIVE_S - self.clock.seconds()

    @property
    def is_live(self) -> bool:
        """Whether a reply has arrived within the last `LIVE_S`."""
        return self.live_s > 0.0

    @property
    def has_replied(self) -> bool:
        """Whether a reply has ever arrived."""
        return self.replied_s > float("-inf")

    async def run(self) -> None:
        """Read until the client is stopped."""
        await supervise.repeat(self.step, "feed", self.clock, self.log)

    def wake(self) -> None:
        """End a pause, as there may be a process to read from now."""
        pause, self.pause = self.pause, None
        if pause is not None:
            pause.callback(None)

    def stop(self) -> None:
        """Stop after the request in progress."""
        self.is_stopped = True

    def choose(self) -> str:
        """Return the address to read from next; empty if there is none."""
        now_s = self.clock.seconds()
        for address in self.candidates():
            if self.avoided_until_s.get(address, now_s) <= now_s:
                return address
        return ""

    async def step(self) -> bool:
        """Read once; return False once the client is stopped."""
        address = self.choose()
        if not address:
            self.lose("no process to read from")
            pause_s = timing.jittered(RETRY_S, RETRY_JITTER, self.random)
            pause = self.pause = Deferred()
            timer = self.clock.callLater(pause_s, self.wake)
            await pause
            if timer.active():
                timer.cancel()
            return not self.is_stopped
        if address != self.address:
            self.after, self.has_more = -1, False
        self.stated_demand_per_s = self.demand_per_s()
        self.stamp += 1
        units = feed_statement.limited(self.statement())
        query = FeedQuery(
            reader=self.reader,
            is_router=self.is_router,
            run=self.run_id,
            after=self.after,
            level=self.level,
            is_records_only=self.is_records_only,
            demand_per_s=self.stated_demand_per_s,
            statement=Statement(self.stamp, units),
            is_continuing=self.has_more,
        )
        sent_s = self.age_clock()
        reply = await self.port.read(address, query, HOLD_S + RESPONSE_MARGIN_S)
        if self.is_stopped:
            return False
        if reply is None:
            self.avoided_until_s[address] = self.clock.seconds() + AVOID_S
            self.lose(f"{address} did not answer")
            return True
        self.stated = feed_statement.as_values(units)
        self.take(address, reply, sent_s)
        return True

    def take(self, address: str, reply: FeedReply, sent_s: float) -> None:
        """Pass on a reply and continue after it."""
        if address != self.address:
            self.log.info(
                "feed reached",
                agent=address,
                relay=reply.relay,
                level=self.level.name.lower(),
                is_whole=reply.is_whole,
                operator_age_s=round(reply.operator_age_s, 3),
            )
        self.replied_s = self.clock.seconds()
        # If the reply cannot be applied, the next request asks for everything.
        self.address = ""
        self.on_reply(reply, sent_s)
        self.address = address
        self.run_id, self.after = reply.run, reply.number
        self.has_more = reply.has_more

    def lose(self, detail: str) -> None:
        """Record that the last request failed."""
        if self.address:
            self.log.warning(
                "feed lost", level=self.level.name.lower(), detail=detail
            )
        self.address = ""
