"""Bytes of callers and targets, in any order and cut anywhere.

The parsers end what is no request or answer, keep no more than their limits
allow, and do not depend on how the bytes are cut.
"""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from twisted.internet import error
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure as TwistedFailure

from sequoiawind.caller_site import CallerSite
from sequoiawind.headers import CallerLimits
from sequoiawind.http1_client import Http1Client
from tests.stand_ins import FakeTransport, accept
from tests.test_http1_client import REQUEST, RecordingSink

LIMITS = CallerLimits(header_bytes=400, body_bytes=300)
# What the parsers may keep beyond a head, in bytes: one part.
PART_BYTES = 2_000
SHARED = (
    b"Transfer-Encoding: chunked\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: -1\r\n",
    b"Connection: close\r\n",
    b"X-A: b\r\n",
    b"X-" + b"n" * 500 + b": v\r\n",
    b"\r\n",
    b"3\r\nabc\r\n",
    b"1\r\nx\r\n" * 150,
    b"0\r\n\r\n",
    b"0\r\nX-Trailer: t\r\n\r\n",
    b"abc",
    b"\x00\xff",
)
OF_CALLERS = (b"POST /a HTTP/1.1\r\nHost: h\r\n", b"GET /b HTTP/1.0\r\n")
OF_TARGETS = (
    b"HTTP/1.1 200 OK\r\nx-id: q1\r\n",
    b"HTTP/1.1 200 OK\r\nx-id: q0\r\n",
    b"HTTP/1.1 503 Full\r\n",
    b"HTTP/1.1 102 Processing\r\n\r\n",
)
FUZZ = settings(max_examples=150, deadline=None, derandomize=True)


def cuts(data: bytes, places: list[int]) -> list[bytes]:
    """Return the pieces of bytes that are cut at some places."""
    ends = sorted({place % (len(data) + 1) for place in places} | {len(data)})
    pieces = [data[a:b] for a, b in zip([0, *ends], ends, strict=False)]
    return [piece for piece in pieces if piece]


def of(parts: tuple[bytes, ...]) -> st.SearchStrategy[bytes]:
    """Return a strategy for bytes made of parts, that begin with the first."""
    some = st.lists(st.sampled_from(parts + SHARED), max_size=9)
    return some.map(lambda found: parts[0] + b"".join(found))


PLACES = st.lists(st.integers(0, 5_000), max_size=8)


def answers_to(pieces: list[bytes]) -> tuple[list[bytes], bool]:
    """Return what a caller gets for some bytes, and whether it is closed.

    A head that is malformed and too large may be refused for either.
    """
    clock = Clock()
    site = CallerSite(
        clock=clock,
        on_request=lambda request, connection: connection.reply(
            200, [], request.body
        ),
        limits=lambda: LIMITS,
        on_refusal=lambda reason: None,
    )
    transport = FakeTransport()
    transport.protocol = connection = site.buildProtocol(None)
    assert connection is not None
    connection.makeConnection(transport)
    for piece in pieces:
        transport.protocol.dataReceived(piece)
        clock.advance(0.0)
        kept = len(connection.body) + connection.http.unparsed_bytes
        assert kept <= LIMITS.header_bytes + LIMITS.body_bytes + PART_BYTES
    answers = transport.value().split(b"HTTP/1.1 ")[1:]
    found = [b"refused" if item[:1] == b"4" else item for item in answers]
    return found, connection.is_lost


def outcome_of(pieces: list[bytes]) -> tuple[bool, bool, bytes]:
    """Return whether a call was answered, or failed, and the body."""
    reactor = MemoryReactorClock()
    client, sink = Http1Client(reactor=reactor), RecordingSink()
    client.call("10.0.0.1:80", REQUEST, sink)
    peer = accept(reactor)
    for piece in pieces:
        if peer.transport.is_aborted:
            break
        peer.protocol.dataReceived(piece)
        reactor.advance(0.0)
    if not peer.transport.is_aborted and not sink.is_done:
        peer.protocol.connectionLost(TwistedFailure(error.ConnectionDone()))
    return sink.is_done, sink.failure is not None, sink.body


class ParserFuzzTest(TestCase):
    """The outcome is one, and does not depend on the cuts."""

    @FUZZ
    @given(of(OF_CALLERS), PLACES)
    def test_bytes_of_a_caller(self, data: bytes, places: list[int]) -> None:
        found, is_closed = answers_to(cuts(data, places))
        whole, was_closed = answers_to(cuts(data, []))
        self.assertEqual((whole, was_closed), (found, is_closed))

    @FUZZ
    @given(of(OF_TARGETS), PLACES)
    def test_bytes_of_a_target(self, data: bytes, places: list[int]) -> None:
        is_done, is_failed, body = outcome_of(cuts(data, places))
        self.assertTrue(is_done != is_failed)
        whole = outcome_of(cuts(data, []))
        self.assertEqual(whole[:2], (is_done, is_failed))
        if is_done:
            self.assertEqual(whole[2], body)
