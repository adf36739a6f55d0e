"""A stream has begun and broken off, and the next target answers an error.

The caller finds neither the error's text nor its head in its stream, and the
stream does not end as if it were complete.
"""

from typing import Any, cast

import attrs
from testtools import TestCase
from twisted.internet.testing import MemoryReactorClock

from sequoiawind.forward_ports import AnswerHead
from sequoiawind.headers import Framing
from sequoiawind.http1_client import Http1Client
from sequoiawind.target_ports import EngineHttpPort
from sequoiawind.verdict import Reason, Verdict, may_have_run, not_run
from tests.forward_rig import FakeCaller, ForwardRig, Sent, target
from tests.stand_ins import accept
from tests.test_repeated_refusals import ADDRESS, ATTEMPT, RecordingSink

EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
ERROR = b"HTTP/1.1 500 Oops\r\n\r\n{'error': 'oops'}\n\n"
EVENT_STREAM = b"text/event-stream"
# Statuses, content types and bodies of errors.
ERRORS = (
    (500, b"text/plain", ERROR),
    (503, b"text/plain", ERROR),
    (404, b"application/json", b'{"error": "oops"}'),
    (302, b"text/html", ERROR),
    (500, EVENT_STREAM, b"data: oops\n\n"),
    (500, EVENT_STREAM, b"id: 3\ndata: oops\n\n"),
    (200, b"text/plain", ERROR),
    (200, b"text/plain", b"oops"),
    (200, b"application/json", b'{"error": "oops"}\n\n'),
    (200, EVENT_STREAM, b"event: error\ndata: oops\n\n"),
    (200, EVENT_STREAM, ERROR),
    (200, EVENT_STREAM, b"oops"),
)


class ForwardingTest(TestCase):
    """A forwarded stream that may be resumed at one other target."""

    def broken_stream(self) -> tuple[ForwardRig, FakeCaller, Sent]:
        """Return a stream that has broken off, and its next attempt."""
        rig = ForwardRig()
        for name in ("e1", "e2"):
            rig.add(target(name, "llm"))
        caller = rig.submit("draft")
        (first,) = rig.port.sent
        self.send(first, 200, EVENT_STREAM, EVENTS)
        first.sink.failed(may_have_run(Reason.CONNECTION_LOST))
        self.assertEqual(2, len(rig.port.sent))
        return rig, caller, rig.port.sent[1]

    def send(
        self, sent: Sent, status: int, content_type: bytes, body: bytes
    ) -> None:
        """Send an answer without its end."""
        head = AnswerHead(
            status=status,
            headers=[(b"content-type", content_type)],
            framing=Framing.CHUNKS,
        )
        sent.sink.head(head)
        sent.sink.data(body)

    def check_aborted(self, caller: FakeCaller, case: object) -> None:
        """Check that a caller has the begun stream, and that it broke off."""
        self.assertEqual(([200], EVENTS), (caller.statuses, caller.body), case)
        self.assertTrue(caller.is_broken, case)
        self.assertFalse(caller.is_ended, case)
        self.assertIsNone(caller.failure, case)

    def test_error_of_the_next_target_is_not_in_the_stream(self) -> None:
        for case in ERRORS:
            _, caller, sent = self.broken_stream()
            self.send(sent, *case)
            sent.sink.done()
            self.check_aborted(caller, case)

    def test_error_that_breaks_off_is_not_in_the_stream(self) -> None:
        for case in ERRORS:
            _, caller, sent = self.broken_stream()
            self.send(sent, *case)
            sent.sink.failed(may_have_run(Reason.CONNECTION_LOST))
            self.check_aborted(caller, case)

    def test_refusal_of_the_next_target_is_not_in_the_stream(self) -> None:
        _, caller, sent = self.broken_stream()
        sent.answer(503, ERROR, refusal=not_run(Reason.TARGET_BUSY))
        self.check_aborted(caller, "refused")

    def test_events_of_the_next_target_continue_the_stream(self) -> None:
        _, caller, sent = self.broken_stream()
        rest = b"id: 3\ndata: three\n\n"
        self.send(sent, 200, b"text/event-stream; charset=utf-8", rest)
        sent.sink.done()
        self.assertEqual(EVENTS + rest, caller.body)
        self.assertTrue(caller.is_ended)

    def test_first_target_may_write_what_it_wants(self) -> None:
        rig = ForwardRig()
        rig.add(target("e1", "llm"))
        caller = rig.submit("draft")
        self.send(rig.port.sent[0], 200, b"text/plain", b"as it is\n\n")
        rig.port.sent[0].sink.done()
        self.assertEqual(b"as it is\n\n", caller.body)


class OpenAiInterfaceTest(TestCase):
    """A sequence that an agent continues at another engine."""

    def test_error_is_no_chunk(self) -> None:
        for status, content_type, body in ERRORS:
            reactor = MemoryReactorClock()
            port = EngineHttpPort(client=Http1Client(reactor=reactor))
            sink = RecordingSink()
            rest = attrs.evolve(ATTEMPT, start_index=2, partial="one two")
            port.open(ADDRESS, rest, cast(Any, sink))
            head = b"HTTP/1.1 %d X\r\ncontent-type: %s\r\n" % (
                status,
                content_type,
            )
            length = b"content-length: %d\r\n\r\n" % len(body)
            accept(reactor).protocol.dataReceived(head + length + body)
            (ended,) = sink.ends
            assert ended.failure is not None, body
            self.assertIs(Verdict.MAY_HAVE_RUN, ended.failure.verdict)
            self.assertEqual([], sink.chunks, body)
