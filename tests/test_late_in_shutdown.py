"""Requests that arrive while a router shuts down get an answer before its end.

Guards against requests that are taken late, passed on, and cut at the end of
the time that the platform grants.
"""

from unittest import mock

import attrs
import structlog
from testtools import TestCase

from sequoiawind import event_loop
from sequoiawind.caller_site import CallerSite
from sequoiawind.daemon import IDLE_CHECK_S, Daemon
from sequoiawind.forward_shutdown import ANY_TIME_S, LEAVE_S, ForwardShutdown
from sequoiawind.headers import CallerLimits
from sequoiawind.http1_server import CallerConnection
from sequoiawind.http_request import HttpRequest
from sequoiawind.lifecycle import Phase
from sequoiawind.platform import callers
from sequoiawind.staged_close import StagedCloser
from tests.forward_rig import KEY, KINDS, ForwardRig, state, target
from tests.stand_ins import FakeTransport

GRACE_S = 8.0
# When requests that have not ended get their answers.
END_S = 7.5
# Time between the sending of SIGTERM and its handling.
SIGNAL_DELAY_S = 0.2


def request(route: str, deadline_ms: int = 5_000) -> bytes:
    """Return a caller's request."""
    lines = [
        f"POST /{route}/x HTTP/1.1",
        "Host: h",
        "Sequoiawind-Attempt-Id: q1",
        f"Sequoiawind-Deadline-Ms: {deadline_ms}",
        f"Authorization: Token {KEY}",
        "Content-Length: 2",
    ]
    return ("\r\n".join([*lines, "", "{}"])).encode()


@attrs.define(kw_only=True, eq=False)
class Stopping:
    """A router that gets SIGTERM at 0 s, on a virtual clock."""

    rig: ForwardRig = attrs.field(factory=ForwardRig)
    phase: Phase = attrs.field(factory=lambda: Phase(name="serving"))
    # For how long the process was suspended, in seconds.
    suspended_s: float = 0.0
    # Time between SIGTERM and SIGKILL, in seconds.
    grace_s: float = GRACE_S
    stopped_s: float = -1.0
    site: CallerSite = attrs.field(init=False)
    shutdown: ForwardShutdown = attrs.field(init=False)
    daemon: Daemon = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Connect the parts as the program does."""
        clock = self.rig.clock
        # `StagedCloser` keeps its own timers on the same clock.
        closer = StagedCloser(clock=clock)
        kinds = {
            name: attrs.evolve(kind, timeout_s=20.0)
            for name, kind in KINDS.items()
        }
        self.rig.configure(state(2, kinds=kinds))
        self.rig.add(target("p1"), target("e1", "llm"))
        self.site = CallerSite(
            clock=clock,
            on_request=self.take,
            limits=lambda: CallerLimits(header_timeout_s=60.0),
            on_refusal=lambda reason: None,
            closer=closer,
        )
        self.shutdown = ForwardShutdown(
            grace_s=lambda: self.grace_s,
            forwarder=self.rig.forwarder,
            site=self.site,
            closer=closer,
            log=structlog.get_logger(),
        )
        self.daemon = Daemon(
            phase=self.phase,
            is_idle=self.shutdown.is_idle,
            on_leaving=self.shutdown.leave,
            on_draining=self.shutdown.drain,
            balancer_wait_s=lambda: self.shutdown.leave_s,
            work_s=lambda: self.shutdown.work_s,
            on_idle=self.site.close_idle,
            on_ending=self.shutdown.end_requests,
            age_clock=lambda: clock.seconds() + self.suspended_s,
        )
        self.shutdown.since_signal_s = lambda: self.daemon.since_signal_s
        self.daemon.lifecycle.ready()

    def take(self, found: HttpRequest, connection: CallerConnection) -> None:
        """Forward a request, as the program does."""
        caller = callers.Caller(connection=connection)
        decoded = callers.decode_request(found)
        forwarding = self.rig.forwarder.submit(decoded, caller)
        if forwarding is not None and not forwarding.is_finished:
            connection.on_disconnect = forwarding.caller_disconnected

    def connect(self) -> FakeTransport:
        """Return the transport of a new caller."""
        transport = FakeTransport()
        transport.protocol = self.site.buildProtocol(None)
        transport.protocol.makeConnection(transport)
        return transport

    def advance_to(self, seconds: float) -> None:
        """Let time pass up to a time after SIGTERM."""
        clock = self.rig.clock
        while clock.seconds() < seconds:
            clock.advance(IDLE_CHECK_S / 2)
            self.rig.freshness.confirmed(clock.seconds())
            if self.phase.name == "stopped" and self.stopped_s < 0.0:
                self.stopped_s = clock.seconds()


def statuses(transport: FakeTransport) -> list[int]:
    """Return the statuses of the answers that a caller has got."""
    parts = transport.value().split(b"HTTP/1.1 ")[1:]
    return [int(part[:3]) for part in parts]


class LateRequestTest(TestCase):
    """Requests that come at each moment of a shutdown."""

    def setUp(self) -> None:
        super().setUp()
        self.begin()

    def begin(self) -> None:
        """Start another router."""
        self.router = Stopping()
        self.sent = self.router.rig.port.sent
        patch = mock.patch.object(event_loop, "reactor", self.router.rig.clock)
        patch.start()
        self.addCleanup(patch.stop)

    def send_half(self, data: bytes, cut: int = 30) -> FakeTransport:
        """Send a part of a request on a new connection."""
        transport = self.router.connect()
        transport.protocol.dataReceived(data[:cut])
        return transport

    def test_half_sent_request_that_cannot_end_in_time(self) -> None:
        for route in ("book", "brief", "read", "draft"):
            self.begin()
            data = request(route, 8_000)
            caller = self.send_half(data)
            self.router.daemon.leave()
            self.router.advance_to(LEAVE_S + 1.0)
            caller.protocol.dataReceived(data[30:])
            self.assertEqual([], self.sent, route)
            self.assertEqual([503], statuses(caller))
            self.assertIn(b"retry-after: 0.050", caller.value().lower())
            self.assertIn(b"connection: close", caller.value().lower())
            self.router.advance_to(LEAVE_S + 1.5)
            self.assertTrue(self.router.stopped_s > 0.0)

    def test_request_sent_at_the_time_limit_of_the_platform(self) -> None:
        # The platform allows for the end of work that was sent within 3 s.
        data = request("brief", 12_000)
        for cut in (0, 30, len(data) - 1):
            self.begin()
            caller = self.router.connect()
            if cut:
                caller.protocol.dataReceived(data[:cut])
            # The signal is sent at 0 s.
            self.router.advance_to(SIGNAL_DELAY_S)
            self.router.daemon.leave()
            self.router.advance_to(3.0 + IDLE_CHECK_S)
            self.assertEqual("leaving", self.router.phase.name)
            caller.protocol.dataReceived(data[cut:])
            self.assertEqual(0, len(self.sent), cut)
            self.assertEqual([503], statuses(caller), cut)

    def test_late_request_that_a_configuration_prolongs(self) -> None:
        for timeout_s, expected in ((3.4, 200), (3.6, 200), (19.4, 503)):
            self.begin()
            rig = self.router.rig
            self.set_time(3, 3.4)
            self.router.daemon.leave()
            self.router.advance_to(LEAVE_S - 0.1)
            data = request("brief", 20_000)
            caller = self.send_half(data)
            self.router.advance_to(LEAVE_S + 0.5)
            now_s = rig.clock.seconds()
            rig.fleet.record_notice(rig.fleet.views["e1"], False, 0.7, now_s)
            caller.protocol.dataReceived(data[30:])
            self.assertEqual(0, len(self.sent))
            self.set_time(4, timeout_s)
            self.router.advance_to(LEAVE_S + 1.5)
            for sent in self.sent:
                self.assertTrue(sent.order.deadline_s < END_S - LEAVE_S - 1.0)
                sent.answer(200, b"id: 1\ndata: x\n\n")
            self.assertEqual([expected], statuses(caller), timeout_s)
            self.assertEqual(expected == 200, bool(self.sent), timeout_s)

    def test_early_request_that_a_configuration_shortens(self) -> None:
        rig = self.router.rig
        self.router.daemon.leave()
        self.router.advance_to(ANY_TIME_S - 0.1)
        now_s = rig.clock.seconds()
        rig.fleet.record_notice(rig.fleet.views["e1"], False, 1.0, now_s)
        caller = self.router.connect()
        caller.protocol.dataReceived(request("brief", 20_000))
        self.router.advance_to(LEAVE_S + 0.1)
        self.assertEqual(0, len(self.sent))
        self.set_time(3, 15.0)
        self.router.advance_to(LEAVE_S + 1.0)
        (sent,) = self.sent
        sent.answer(200, b"id: 1\ndata: x\n\n")
        self.assertEqual([200], statuses(caller))

    def set_time(self, revision: int, timeout_s: float) -> None:
        """Apply a configuration with another time limit."""
        kinds = {
            name: attrs.evolve(kind, timeout_s=timeout_s)
            for name, kind in KINDS.items()
        }
        self.router.rig.configure(state(revision, kinds=kinds))

    def test_half_sent_request_that_ends_in_time(self) -> None:
        data = request("book", 3_000)
        caller = self.send_half(data)
        self.router.daemon.leave()
        self.router.advance_to(LEAVE_S + 1.0)
        caller.protocol.dataReceived(data[30:])
        (sent,) = self.sent
        self.router.advance_to(LEAVE_S + 3.0)
        sent.answer(200, b"done")
        self.assertEqual([200], statuses(caller))

    def test_requests_that_are_open_at_the_end(self) -> None:
        found = {}
        self.router.daemon.leave()
        self.router.advance_to(ANY_TIME_S - 0.5)
        for route in ("book", "read", "brief"):
            found[route] = self.router.connect()
            data = request(route, 20_000).replace(b"q1", route.encode())
            found[route].protocol.dataReceived(data)
        self.sent[2].begin(200, b"id: 1\ndata: x\n\n")
        self.router.advance_to(END_S - 0.1)
        self.assertEqual("draining", self.router.phase.name)
        self.router.advance_to(END_S + 0.2)
        self.assertEqual([502], statuses(found["book"]))
        self.assertEqual([502], statuses(found["read"]))
        # A stream that was begun ends so that it does not look complete.
        self.assertEqual([200], statuses(found["brief"]))
        self.assertNotIn(b"0\r\n\r\n", found["brief"].value())
        self.assertTrue(found["brief"].disconnecting)
        self.assertTrue(all(sent.call.is_cancelled for sent in self.sent))

    def test_request_that_waits_for_a_target_at_the_end(self) -> None:
        fleet = self.router.rig.fleet
        fleet.shed("p1", self.router.rig.clock.seconds() + 100.0)
        self.router.daemon.leave()
        self.router.advance_to(ANY_TIME_S - 0.1)
        caller = self.router.connect()
        caller.protocol.dataReceived(request("book", 20_000))
        self.router.advance_to(END_S - 0.1)
        self.assertEqual([], statuses(caller))
        self.router.advance_to(END_S + 0.2)
        self.assertEqual([], self.sent)
        self.assertEqual([503], statuses(caller))

    def test_grace_that_has_become_shorter_before_the_signal(self) -> None:
        fleet = self.router.rig.fleet
        fleet.shed("p1", self.router.rig.clock.seconds() + 100.0)
        self.router.grace_s = 2.0
        self.router.daemon.leave()
        caller = self.router.connect()
        caller.protocol.dataReceived(request("book", 20_000))
        self.router.advance_to(1.7)
        self.assertEqual([], statuses(caller))
        self.router.advance_to(1.9)
        self.assertEqual([503], statuses(caller))

    def test_half_sent_request_at_the_end(self) -> None:
        for cut in (5, 80, len(request("book")) - 1):
            self.begin()
            caller = self.send_half(request("book"), cut)
            self.router.daemon.leave()
            self.router.advance_to(END_S + 0.2)
            self.assertEqual([503], statuses(caller), cut)

    def test_pipelined_requests(self) -> None:
        for is_late in (False, True):
            self.begin()
            caller = self.router.connect()
            caller.protocol.dataReceived(request("book"))
            if is_late:
                self.router.daemon.leave()
            caller.protocol.dataReceived(request("book", 3_000))
            if not is_late:
                self.router.daemon.leave()
            self.router.advance_to(LEAVE_S + 1.0)
            self.sent[0].answer(200, b"done")
            self.router.advance_to(LEAVE_S + 1.1)
            self.assertNotIn(b"connection: close", caller.value().lower())
            self.sent[1].answer(200, b"done")
            self.assertEqual([200, 200], statuses(caller))
            self.assertIn(b"connection: close", caller.value().lower())

    def test_router_that_is_suspended_meanwhile(self) -> None:
        data = request("book", 3_000)
        caller = self.send_half(data)
        open_one = self.router.connect()
        open_one.protocol.dataReceived(request("read", 20_000))
        self.router.daemon.leave()
        self.router.advance_to(1.0)
        self.router.suspended_s = 5.0
        self.router.advance_to(1.1)
        # 6.1 s have passed of 8.
        self.assertEqual("draining", self.router.phase.name)
        caller.protocol.dataReceived(data[30:])
        self.assertEqual([503], statuses(caller))
        self.router.suspended_s = 9.0
        self.router.advance_to(1.2)
        self.assertEqual([502], statuses(open_one))

    def test_second_signal_changes_nothing(self) -> None:
        caller = self.router.connect()
        self.router.daemon.leave()
        self.router.advance_to(2.0)
        self.router.daemon.leave()
        caller.protocol.dataReceived(request("book", 20_000))
        self.router.advance_to(LEAVE_S + 0.1)
        self.assertEqual("draining", self.router.phase.name)
        self.router.advance_to(END_S + 0.1)
        self.assertEqual(1, len(statuses(caller)))
