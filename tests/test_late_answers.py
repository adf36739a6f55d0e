"""Time-outs of calls whose whole answer is collected, on a virtual clock."""

from typing import Any, cast

import attrs
from expression import Result
from testtools import TestCase
from twisted.internet.task import Clock

from sequoiawind import messages
from sequoiawind.http1_client import AnswerSink, Http1Client, OutgoingRequest
from sequoiawind.http1_fetch import MAX_ARRIVAL_S, HttpReply, fetch
from sequoiawind.verdict import Failure
from tests.forward_rig import FakeCall

REQUEST = OutgoingRequest(method=b"GET", request_target=b"/", headers=[])
TIMEOUT_S = 0.8
STALL_S = 0.4


@attrs.define(kw_only=True, eq=False)
class FakeClient:
    """Keeps the sink of its last call for a test to answer."""

    reactor: Clock = attrs.field(factory=Clock)
    collected_bytes: int = 0
    sinks: list[AnswerSink] = attrs.field(factory=list)
    calls: list[FakeCall] = attrs.field(factory=list)

    def call(self, address: str, request: Any, sink: AnswerSink) -> FakeCall:
        """Note a call."""
        self.sinks.append(sink)
        self.calls.append(FakeCall())
        return self.calls[-1]


class LateAnswerTest(TestCase):
    """An answer that keeps arriving is waited for, within a bound."""

    def setUp(self) -> None:
        super().setUp()
        self.client = FakeClient()
        self.results: list[Result[HttpReply, Failure]] = []
        fetch(
            cast(Http1Client, self.client), "a:1", REQUEST, TIMEOUT_S, STALL_S
        ).addCallback(self.results.append)
        self.sink = self.client.sinks[0]

    def receive(self, seconds: float, pause_s: float) -> None:
        """Let parts of the body arrive with pauses between them."""
        for _ in range(round(seconds / pause_s)):
            self.client.reactor.advance(pause_s)
            self.sink.data(b"part")

    def test_answer_that_keeps_arriving_is_received(self) -> None:
        self.sink.head(200, [])
        self.receive(3.0, 0.3)
        self.assertEqual([], self.results)
        self.sink.done()
        self.assertEqual(b"part" * 10, self.results[0].ok.body)
        self.assertEqual([], self.client.reactor.getDelayedCalls())

    def test_answer_that_does_not_begin_ends_in_time(self) -> None:
        self.client.reactor.advance(TIMEOUT_S)
        self.assertEqual(messages.START_TIMEOUT, self.results[0].error.detail)
        self.assertTrue(self.client.calls[0].is_cancelled)

    def test_stalled_answer_ends(self) -> None:
        self.sink.head(200, [])
        self.receive(1.2, 0.3)
        self.client.reactor.advance(STALL_S - 0.01)
        self.assertEqual([], self.results)
        self.client.reactor.advance(0.02)
        self.assertIn("16 bytes so far", self.results[0].error.detail)

    def test_answer_that_arrives_byte_by_byte_ends(self) -> None:
        self.sink.head(200, [])
        self.receive(MAX_ARRIVAL_S + 0.3, 0.3)
        self.assertTrue(self.results[0].is_error())
        self.assertTrue(self.client.calls[0].is_cancelled)
