"""Ends of connections that carry a request are in the log, with their cause.

Guards against cut answers and lost requests that no line explains.
"""

import gc
import weakref
from typing import Any
from unittest import mock

from testtools import TestCase
from twisted.internet import error
from twisted.python.failure import Failure as TwistedFailure

from sequoiawind import event_loop
from sequoiawind.caller_output import StalledCaller
from sequoiawind.connection_ends import Cause
from sequoiawind.end_notes import EndNotes
from sequoiawind.http1_server import CallerConnection
from sequoiawind.http_request import HttpRequest
from sequoiawind.metrics import ForwardMetrics
from sequoiawind.platform import callers
from sequoiawind.router_notes import RouterNotes
from tests.stand_ins import FakeTransport
from tests.test_late_in_shutdown import END_S, LEAVE_S, Stopping, request
from tests.test_stop_notes import capture

RESET = TwistedFailure(error.ConnectionLost())
EVENT = b"id: 1\ndata: x\n\n"


class EndsTest(TestCase):
    """Connections of a router on a virtual clock, and the lines they leave."""

    def setUp(self) -> None:
        super().setUp()
        self.router = Stopping()
        patch = mock.patch.object(event_loop, "reactor", self.router.rig.clock)
        patch.start()
        self.addCleanup(patch.stop)
        log, self.lines = capture()
        self.metrics = ForwardMetrics()
        self.notes = EndNotes(
            counter=self.metrics.connection_ends,
            log=log,
            board=self.router.rig.board,
            clock=self.router.rig.clock,
            request_id=callers.request_id,
        )
        self.router.rig.board.phase = self.router.phase
        self.router.site.on_end = self.notes.note
        self.sent = self.router.rig.port.sent

    def send(self, data: bytes) -> FakeTransport:
        """Send bytes on a new connection."""
        transport = self.router.connect()
        transport.protocol.dataReceived(data)
        return transport

    def stream(self) -> FakeTransport:
        """Open a stream, and send its first event."""
        caller = self.send(request("brief", 20_000))
        self.sent[-1].begin(200, EVENT)
        return caller

    def only(self) -> Any:
        """Return the only line."""
        (line,) = self.lines
        self.assertEqual("connection ended", line["event"])
        return line

    def count(self, cause: Cause, phase: str) -> float:
        """Return the counter of a cause."""
        value = self.metrics.registry.get_sample_value(
            "sequoiawind_connection_ends_total",
            {"cause": cause.value, "request_phase": phase},
        )
        return value or 0.0

    def test_stream_that_the_router_breaks_off_has_one_line(self) -> None:
        self.router.advance_to(1.0)
        self.notes.configured()
        self.router.advance_to(3.0)
        caller = self.stream()
        self.router.daemon.leave()
        self.router.advance_to(3.0 + END_S + 0.2)
        line = self.only()
        self.assertTrue(caller.disconnecting)
        caller.protocol.connectionLost(RESET)
        self.assertEqual(line, self.only())
        self.assertEqual(
            ("broken_off", "answering", "q1", ["e1"], "warning", "ending"),
            tuple(
                line[name]
                for name in (
                    "cause",
                    "request_phase",
                    "request_id",
                    "targets",
                    "log_level",
                    "phase",
                )
            ),
        )
        self.assertEqual(len(caller.value()), line["written_bytes"])
        self.assertEqual(len(request("brief", 20_000)), line["read_bytes"])
        self.assertEqual(2, line["revision"])
        self.assertTrue(END_S <= line["since_signal_s"] < END_S + 0.2)
        self.assertTrue(
            2.0 + END_S <= line["in_force_for_s"] < 2.2 + END_S, line
        )
        self.assertEqual(1.0, self.count(Cause.BROKEN_OFF, "answering"))

    def test_idle_connection_keeps_no_body(self) -> None:
        found: list[weakref.ref[HttpRequest]] = []

        def take(request: HttpRequest, connection: CallerConnection) -> None:
            found.append(weakref.ref(request))
            self.router.take(request, connection)

        self.router.site.on_request = take
        caller = self.send(request("book"))
        self.sent.pop().answer(200, b"whole")
        gc.collect()
        self.assertTrue(caller.protocol.is_idle)
        self.assertEqual([None], [item() for item in found])

    def test_caller_that_leaves_in_each_phase(self) -> None:
        data = request("brief", 20_000)
        body = data.index(b"\r\n\r\n") + 4
        for cut, phase, request_id in (
            (30, "reading_head", ""),
            (body + 1, "reading_body", "q1"),
            (len(data), "sent", "q1"),
        ):
            self.lines.clear()
            caller = self.send(data[:cut])
            caller.protocol.connectionLost(RESET)
            line = self.only()
            self.assertEqual("caller_left", line["cause"])
            self.assertEqual(phase, line["request_phase"])
            self.assertEqual(request_id, line["request_id"])
            self.assertEqual(cut, line["read_bytes"])
            self.assertEqual(0, line["written_bytes"])
            self.assertEqual(-1.0, line["since_signal_s"])
            self.assertEqual("info", line["log_level"])
        self.lines.clear()
        self.stream().protocol.connectionLost()
        self.assertEqual("answering", self.only()["request_phase"])
        self.assertEqual("closed", self.only()["detail"])

    def test_request_that_waits_for_a_target(self) -> None:
        fleet = self.router.rig.fleet
        fleet.shed("p1", self.router.rig.clock.seconds() + 100.0)
        self.send(request("book")).protocol.connectionLost(RESET)
        self.assertEqual("waiting", self.only()["request_phase"])

    def test_half_read_requests_that_are_refused(self) -> None:
        malformed = self.send(b"hello\r\n\r\n")
        self.assertEqual("bad_request", self.only()["detail"])
        self.assertEqual("refused", self.only()["cause"])
        malformed.protocol.connectionLost()
        self.lines.clear()
        self.send(request("book")[:-1])
        self.router.daemon.leave()
        self.router.advance_to(END_S + 0.2)
        line = self.only()
        self.assertEqual("shutting_down", line["detail"])
        self.assertEqual("reading_body", line["request_phase"])
        self.assertEqual("q1", line["request_id"])

    def test_idle_connections_are_counted_only(self) -> None:
        self.router.connect()
        self.router.connect().protocol.connectionLost()
        for route in ("book", "read"):
            caller = self.send(request(route))
            self.sent[-1].answer(200, b"done")
            if route == "read":
                caller.protocol.connectionLost()
        self.router.advance_to(0.5)
        self.router.site.close_longest_idle()
        self.router.daemon.leave()
        self.router.advance_to(0.5 + LEAVE_S + 0.1)
        self.assertEqual([], self.lines)
        self.assertEqual(2.0, self.count(Cause.CALLER_LEFT, "none"))
        self.assertEqual(1.0, self.count(Cause.DESCRIPTORS, "none"))
        self.assertEqual(1.0, self.count(Cause.DRAIN, "none"))

    def test_request_that_crosses_the_close_at_the_end(self) -> None:
        caller = self.stream()
        self.router.daemon.leave()
        self.router.advance_to(LEAVE_S + 0.1)
        self.sent[-1].sink.done()
        self.assertEqual([], self.lines)
        self.router.advance_to(LEAVE_S + 0.2)
        self.assertEqual(1.0, self.count(Cause.DRAIN, "none"))
        caller.protocol.dataReceived(request("book"))
        caller.protocol.connectionLost()
        line = self.only()
        self.assertEqual("discarded", line["cause"])
        self.assertEqual("q1", line["request_id"])
        self.assertEqual("peer after drain", line["detail"])
        self.assertEqual(len(request("book")), line["discarded_bytes"])

    def test_announced_close_is_counted_only(self) -> None:
        self.router.daemon.leave()
        caller = self.send(request("book"))
        self.sent[-1].answer(200, b"done")
        caller.protocol.connectionLost()
        self.assertEqual([], self.lines)
        self.assertEqual(1.0, self.count(Cause.ANSWERED, "none"))

    def test_close_that_its_caller_does_not_end(self) -> None:
        self.send(b"hello\r\n\r\n")
        self.lines.clear()
        self.router.advance_to(4.0)
        line = self.only()
        self.assertEqual("at_bound", line["cause"])
        self.assertEqual("time after refused", line["detail"])

    def test_answer_of_which_its_caller_takes_nothing(self) -> None:
        caller = self.stream()
        caller.protocol.life.stalled(
            StalledCaller(peer="1.2.3.4:5", held_bytes=70, stalled_s=2.0)
        )
        caller.protocol.connectionLost(RESET)
        line = self.only()
        self.assertEqual("stalled", line["cause"])
        self.assertEqual(70, line["untaken_bytes"])

    def test_connection_whose_handler_fails(self) -> None:
        caller = self.send(request("book"))
        caller.protocol.connectionLost(TwistedFailure(KeyError("x")))
        self.assertEqual("fault", self.only()["cause"])
        self.assertEqual("warning", self.only()["log_level"])

    def test_line_of_a_request_tells_when_it_was_sent(self) -> None:
        rig = self.router.rig
        notes = RouterNotes(
            metrics=ForwardMetrics(),
            log=self.notes.log,
            board=rig.board,
            freshness=rig.freshness,
            clock=rig.clock,
            request_id=callers.request_id,
        )
        rig.forwarder.on_end = notes.note_end
        rig.fleet.shed("p1", rig.clock.seconds() + 0.5)
        self.send(request("book", 20_000))
        self.router.daemon.leave()
        self.router.advance_to(1.0)
        rig.forwarder.waiting.serve()
        self.router.advance_to(2.0)
        self.sent[-1].answer(200, b"done")
        line = next(x for x in self.lines if x["event"] == "request")
        self.assertTrue(0.5 <= line["sent_s"] <= 1.1, line)
        self.assertTrue(1.9 <= line["since_signal_s"] <= 2.1, line)
        self.assertEqual("leaving", line["phase"])
        self.assertEqual(-1.0, line["in_force_for_s"])
        notes.ends.configured()
        self.router.advance_to(2.5)
        self.send(request("book", 3_000))
        self.sent[-1].answer(200, b"done")
        line = [x for x in self.lines if x["event"] == "request"][-1]
        self.assertTrue(0.5 <= line["in_force_for_s"] < 0.6, line)

    def test_connections_that_end_with_their_process(self) -> None:
        self.router.connect()
        caller = self.send(request("book")[:30])
        self.router.phase.name = "stopped"
        for connection in list(self.router.site.connections):
            connection.connectionLost(RESET)
        line = self.only()
        self.assertEqual("process_end", line["cause"])
        self.assertEqual("reading_head", line["request_phase"])
        self.assertEqual("warning", line["log_level"])
        self.assertFalse(caller.disconnecting)
