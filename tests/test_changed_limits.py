"""Limits on callers that a configuration changes hold on each connection.

Guards against requests within the limits in force being refused by older ones,
and against limits that a connection or a request escapes.
"""

from collections.abc import Sequence
from typing import Any

import attrs
from testtools import TestCase
from twisted.internet.task import Clock

from sequoiawind.caller_limits import LimitsInForce
from sequoiawind.caller_site import CallerSite
from sequoiawind.headers import CallerLimits
from sequoiawind.http1_server import CallerConnection
from sequoiawind.http_request import HttpRequest
from sequoiawind.memory_budget import MemoryBudget
from sequoiawind.verdict import Reason
from tests.stand_ins import FakeTransport

IN_FORCE_S = 2.0
LOW = CallerLimits(
    header_bytes=500,
    body_bytes=100,
    header_timeout_s=3.0,
    idle_timeout_s=5.0,
)
HIGH = CallerLimits(
    header_bytes=1_000,
    body_bytes=200,
    header_timeout_s=6.0,
    idle_timeout_s=15.0,
)
SMALL = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


def head(size: int) -> bytes:
    """Return a request without a body, of a size."""
    start = b"GET /a HTTP/1.1\r\nHost: h\r\nX: "
    return start + b"x" * (size - len(start) - 4) + b"\r\n\r\n"


def chunked(size: int) -> bytes:
    """Return a request with a body of a size, sent in chunks of ten bytes."""
    start = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    return start + b"a\r\n0123456789\r\n" * (size // 10) + b"0\r\n\r\n"


def sized(size: int) -> bytes:
    """Return a request with a body of a stated size."""
    start = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
    return start + b"x" * size


@attrs.define(kw_only=True, eq=False)
class Connected:
    """One caller, whose requests are answered at once."""

    protocol: CallerConnection
    transport: FakeTransport = attrs.field(factory=FakeTransport)

    def __attrs_post_init__(self) -> None:
        """Connect."""
        self.protocol.makeConnection(self.transport)

    def status(self, *pieces: bytes) -> int:
        """Send a request in pieces; return the status of its answer, or 0."""
        self.transport.clear()
        for piece in pieces:
            self.transport_protocol.dataReceived(piece)
            # A body in small chunks takes several turns.
            self.protocol.site.clock.advance(0.0)
        return self.answered

    @property
    def transport_protocol(self) -> Any:
        """What receives the caller's bytes: the protocol, or its successor."""
        return self.transport.protocol or self.protocol

    @property
    def answered(self) -> int:
        """Status of the answer; 0 if there is none."""
        return int((self.transport.value()[9:12]) or b"0")

    @property
    def is_closed(self) -> bool:
        """Whether the connection is being closed."""
        return self.transport.disconnecting or self.transport.is_half_closed


class ChangedLimitsTest(TestCase):
    """Limits that are raised, lowered and changed back."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.clock.advance(100.0)
        self.refused: list[Reason] = []
        self.is_current = True
        self.budget = MemoryBudget()
        self.limits = LimitsInForce(
            clock=self.clock,
            in_force_s=lambda: IN_FORCE_S,
            on_end=lambda: self.site.limits_changed(),
        )
        self.site = CallerSite(
            clock=self.clock,
            on_request=self.answer,
            limits=self.limits.current,
            on_refusal=self.refused.append,
            may_deny=lambda: self.is_current,
            budget=self.budget,
        )

    def answer(
        self, request: HttpRequest, connection: CallerConnection
    ) -> None:
        connection.reply(200, [], b"")

    def connect(self) -> Connected:
        return Connected(protocol=self.site.buildProtocol(None))

    def put(self, *steps: CallerLimits) -> None:
        """Put configurations in force, one after the other."""
        for limits in steps:
            self.limits.put(limits)
            self.clock.advance(IN_FORCE_S + 0.1)

    def check(self, expected: int, caller: Connected, request: bytes) -> None:
        """Check the answer to a request, whole and in pieces."""
        self.assertEqual(expected, caller.status(request[:40], request[40:]))
        if expected == 200:
            self.assertEqual(expected, caller.status(request))
        else:
            self.assertTrue(caller.is_closed)
            self.assertEqual(expected, self.connect().status(request))

    def test_last_limits_hold_on_kept_and_new_connections(self) -> None:
        for steps in (
            (LOW, HIGH),
            (HIGH, LOW),
            (LOW, HIGH, LOW),
            (HIGH, LOW, HIGH),
            (LOW, HIGH, LOW, HIGH),
        ):
            for request, refusal in (
                (head(900), 431),
                (chunked(150), 413),
                (sized(150), 413),
            ):
                self.limits.newest = None
                self.put(steps[0])
                caller = self.connect()
                for limits in steps:
                    self.assertEqual(200, caller.status(SMALL))
                    self.put(limits)
                expected = 200 if steps[-1] is HIGH else refusal
                self.check(expected, caller, request)
                self.check(expected, self.connect(), request)

    def test_each_limit_that_may_be_in_force_holds(self) -> None:
        for steps in ((LOW, HIGH), (HIGH, LOW), (LOW, HIGH, LOW)):
            self.put(steps[0])
            caller = self.connect()
            for limits in steps[1:]:
                self.limits.put(limits)
                self.clock.advance(IN_FORCE_S / 4)
            self.check(200, caller, head(900))
            self.check(200, caller, chunked(150))
            self.clock.advance(IN_FORCE_S)

    def test_request_that_is_half_read(self) -> None:
        for first, then in ((LOW, HIGH), (HIGH, LOW)):
            for request in (head(900), chunked(150), sized(150)):
                for cut in (20, 80, 120):
                    self.put(first)
                    caller = self.connect()
                    self.assertEqual(0, caller.status(request[:cut]))
                    self.limits.put(then)
                    self.clock.advance(IN_FORCE_S + 0.5)
                    self.assertEqual(200, caller.status(request[cut:]))
        self.assertEqual([], self.refused)

    def test_memory_for_a_body_whose_limit_is_raised(self) -> None:
        self.put(LOW)
        caller = self.connect()
        request = sized(150)
        caller.status(request[:100])
        self.limits.put(HIGH)
        caller.status(request[100:-1])
        # The head and the whole body.
        self.assertTrue(self.budget.held_bytes >= 150)
        self.assertEqual(200, caller.status(request[-1:]))
        self.assertEqual(0, self.budget.held_bytes)

    def test_time_for_a_head(self) -> None:
        for first, then, limit_s in ((LOW, HIGH, 6.0), (HIGH, LOW, 6.0)):
            self.put(first)
            caller = self.connect()
            caller.status(SMALL[:5])
            self.clock.advance(1.0)
            self.limits.put(then)
            self.clock.advance(limit_s - 1.1)
            self.assertEqual(0, caller.answered)
            self.clock.advance(0.2)
            self.assertEqual(408, caller.answered)
            caller = self.connect()
            caller.status(SMALL[:5])
            self.clock.advance(then.header_timeout_s - 0.1)
            self.assertEqual(0, caller.answered)
            self.clock.advance(0.2)
            self.assertEqual(408, caller.answered)

    def test_time_for_which_connections_may_be_idle(self) -> None:
        for first, then, idle_s, ends_s in (
            (LOW, HIGH, 4.0, 15.0),
            # It may be used until the older limit can be in force no longer.
            (HIGH, LOW, 4.0, 6.0),
            (HIGH, LOW, 1.0, 5.0),
        ):
            self.put(first)
            caller = self.connect()
            self.clock.advance(idle_s)
            self.limits.put(then)
            self.clock.advance(ends_s - idle_s - 0.1)
            self.assertFalse(caller.is_closed, (first, then))
            self.clock.advance(0.2)
            self.assertTrue(caller.is_closed, (first, then))

    def test_busy_connections_stay_when_limits_end(self) -> None:
        self.put(HIGH)
        busy, half = self.connect(), self.connect()
        self.site.on_request = lambda request, connection: None
        busy.status(SMALL)
        self.clock.advance(10.0)
        half.status(SMALL[:5])
        self.put(LOW)
        self.assertFalse(busy.is_closed or half.is_closed)

    def test_limits_that_may_be_out_of_date_deny_nothing_for_good(self) -> None:
        for limits in (None, LOW):
            if limits is not None:
                self.put(limits)
            self.is_current = False
            for request in (head(20_000), chunked(5_000_000)):
                caller = self.connect()
                self.assertEqual(503, caller.status(request))
                self.assertIn(b"retry-after: 0.500", caller.transport.value())
            self.assertEqual({Reason.CONFIG_STALE}, set(self.refused))
            # Nothing that a configuration changes makes these valid.
            self.assertEqual(400, self.connect().status(b"hello\r\n\r\n"))
            self.refused.clear()

    def test_request_that_is_read_long_after_it_was_sent(self) -> None:
        for lowered_first, expected in ((False, 200), (True, 431)):
            self.put(HIGH)
            caller = self.connect()
            answering: list[CallerConnection] = []
            self.site.on_request = lambda _, connection, to=answering: (
                to.append(connection)  # type: ignore[misc]
            )
            caller.status(SMALL)
            if lowered_first:
                self.put(LOW)
            caller.transport_protocol.dataReceived(head(900))
            self.put(LOW)
            self.site.on_request = self.answer
            caller.transport.clear()
            answering[0].reply(200, [], b"")
            self.clock.advance(0.0)
            last = caller.transport.value().split(b"HTTP/1.1 ")[-1]
            self.assertEqual(expected, int(last[:3]), lowered_first)

    def test_pipelined_heads_have_a_limit_each(self) -> None:
        self.put(LOW)
        for sizes, expected in (
            ((400, 400, 400), (200, 200, 200)),
            ((400, 600), (200, 431)),
        ):
            caller = self.connect()
            found = self.statuses(caller, [head(size) for size in sizes])
            self.assertEqual(expected, found)

    def statuses(
        self, caller: Connected, requests: Sequence[bytes]
    ) -> tuple[int, ...]:
        """Send requests at once; return the statuses of the answers."""
        caller.status(b"".join(requests))
        for _ in requests:
            self.clock.advance(0.0)
        parts = caller.transport.value().split(b"HTTP/1.1 ")[1:]
        return tuple(int(part[:3]) for part in parts)
