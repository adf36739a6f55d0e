"""Answers whose head is cut off are failures, wherever they are cut.

Guards against a target, agent or store that stops in the middle of its
answer's head being taken for one that answered with an empty or short body.
"""

from collections.abc import Iterator
from typing import Any

import attrs
from testtools import TestCase
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure as TwistedFailure

from sequoiawind import http_client
from sequoiawind.headers import Headers
from sequoiawind.http1_client import Http1Client, OutgoingRequest
from sequoiawind.http1_fetch import fetch
from sequoiawind.http_client import JsonClient
from sequoiawind.http_ports import AgentPort
from sequoiawind.platform.engine import EngineClient
from sequoiawind.verdict import Failure, Verdict
from tests import live
from tests.forward_rig import FakeCaller, ForwardRig, target
from tests.stand_ins import Peer, accept
from tests.test_target_ports import ATTEMPT, RawTarget, RecordingSink

ADDRESS = "10.0.0.1:80"
EVENT = b"id: 1\ndata: x\n\n"
# Answers to the request with the id q1, up to the end of their heads, and their
# bodies.
STATED = b"sequoiawind-attempt-id: q1\r\nsequoiawind-server-seal: s1\r\n"
FRAMINGS = {
    "length": (b"content-length: %d\r\n" % len(EVENT), EVENT),
    "chunks": (
        b"transfer-encoding: chunked\r\n",
        b"%x\r\n%s\r\n0\r\n\r\n" % (len(EVENT), EVENT),
    ),
    "connection": (b"connection: close\r\n", EVENT),
    "empty": (b"content-length: 0\r\n", b""),
}
INTERIM = (
    b"",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
)
# An answer to an earlier request, which is skipped.
FOREIGN = (
    b"HTTP/1.1 200 OK\r\nsequoiawind-attempt-id: q0\r\n"
    b"content-length: 0\r\n\r\n"
)
CLOSED = TwistedFailure(error.ConnectionDone())
RESET = TwistedFailure(error.ConnectionLost())


def heads() -> Iterator[tuple[str, bytes]]:
    """Yield a head for each framing, with and without interim answers."""
    for name, (framing, _) in FRAMINGS.items():
        head = b"HTTP/1.1 200 OK\r\n" + STATED + framing + b"\r\n"
        for interim in (*INTERIM, FOREIGN):
            yield name, interim + head


def cuts(step: int = 1) -> Iterator[bytes]:
    """Yield what arrives of each head that is cut off."""
    for _, head in heads():
        for size in range(0, len(head), step):
            yield head[:size]


@attrs.define(kw_only=True, eq=False)
class Recorded:
    """A sink that records an answer."""

    status: int = 0
    is_done: bool = False
    failures: list[Failure] = attrs.field(factory=list)

    def head(self, status: int, headers: Headers) -> None:
        """Record the status."""
        self.status = status

    def data(self, data: bytes) -> None:
        """Ignore a part of the body."""

    def done(self) -> None:
        """Record the end."""
        self.is_done = True

    def failed(self, failure: Failure) -> None:
        """Record the failure."""
        self.failures.append(failure)


class ClientTest(TestCase):
    """The client for targets, agents and the store."""

    def connect(self, is_kept: bool) -> tuple[Recorded, Peer, Http1Client]:
        """Send a request on a new connection, or on a kept one."""
        reactor = MemoryReactorClock()
        client = Http1Client(reactor=reactor)
        request = OutgoingRequest(
            method=b"GET",
            request_target=b"/a",
            headers=[(b"host", b"h")],
            echo=(b"sequoiawind-attempt-id", b"q1"),
        )
        if is_kept:
            first = Recorded()
            client.call(ADDRESS, request, first)
            peer = accept(reactor)
            answer = b"HTTP/1.1 200 OK\r\n" + STATED + b"content-length: 0\r\n"
            peer.protocol.dataReceived(answer + b"\r\n")
            self.assertTrue(first.is_done)
        sink = Recorded()
        client.call(ADDRESS, request, sink)
        if not is_kept:
            peer = accept(reactor)
        return sink, peer, client

    def test_cut_anywhere(self) -> None:
        for is_kept in (False, True):
            for received in cuts():
                for reason in (CLOSED, RESET):
                    sink, peer, client = self.connect(is_kept)
                    if received:
                        peer.protocol.dataReceived(received)
                    peer.protocol.connectionLost(reason)
                    (failure,) = sink.failures
                    self.assertEqual(Verdict.MAY_HAVE_RUN, failure.verdict)
                    self.assertEqual((0, False), (sink.status, sink.is_done))
                    self.assertEqual({}, dict(client.idle))

    def test_whole_heads_are_taken(self) -> None:
        for name, head in heads():
            sink, peer, _ = self.connect(is_kept=True)
            peer.protocol.dataReceived(head + FRAMINGS[name][1])
            peer.protocol.connectionLost(CLOSED)
            self.assertEqual((200, True), (sink.status, sink.is_done), head)

    def test_calls_to_agents_and_the_store(self) -> None:
        for received in cuts(step=7):
            reactor = MemoryReactorClock()
            client = Http1Client(reactor=reactor)
            request = OutgoingRequest(
                method=b"GET", request_target=b"/a", headers=[(b"host", b"h")]
            )
            found: list[Any] = []
            fetch(client, ADDRESS, request, 1.0).addCallback(found.append)
            peer = accept(reactor)
            if received:
                # Nothing tells a skipped answer from the answer here.
                peer.protocol.dataReceived(received.removeprefix(FOREIGN))
            peer.protocol.connectionLost(CLOSED)
            (result,) = found
            self.assertTrue(result.is_error(), received)


class ForwardedTest(TestCase):
    """What the platform's callers get, for calls and streams."""

    def ask(self, route: str, received: bytes) -> tuple[FakeCaller, int]:
        """Let each target cut its head; return the caller and the sends."""
        reactor = MemoryReactorClock()
        rig = ForwardRig()
        rig.forwarder.port = EngineClient(client=Http1Client(reactor=reactor))
        pool = "llm" if route in ("brief", "draft") else "app"
        for number in (1, 2, 3):
            address = f"10.0.0.{number}:80"
            rig.add(target(f"t{number}", pool, address=address))
        caller = rig.submit(
            route,
            request_id="q1",
            headers=[(b"host", b"h"), (b"sequoiawind-attempt-id", b"q1")],
        )
        sent = 0
        while len(reactor.tcpClients) > sent:
            sent += 1
            peer = accept(reactor)
            if received:
                peer.protocol.dataReceived(received)
            peer.protocol.connectionLost(CLOSED)
            rig.advance(0.1)
        return caller, sent

    def test_no_caller_gets_a_success(self) -> None:
        for route, sends in (
            ("read", 2),
            ("book", 1),
            ("brief", 1),
            ("draft", 2),
        ):
            for received in cuts(step=11):
                caller, sent = self.ask(route, received)
                assert caller.failure is not None, received
                self.assertEqual(
                    Verdict.MAY_HAVE_RUN, caller.failure.verdict, received
                )
                self.assertEqual([], caller.statuses)
                # What may repeat was sent once more, and nothing else.
                self.assertEqual(sends, sent, (route, received))


class OwnInterfaceTest(TestCase):
    """Agents, engines and the log behind the OpenAI interface."""

    def setUp(self) -> None:
        super().setUp()
        live.start_reactor_thread()
        self.client = live.in_reactor(http_client.make_client)
        self.answers = [
            interim + b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n"
            for interim in INTERIM
            for framing, _ in FRAMINGS.values()
        ]

    def test_answers_of_agents(self) -> None:
        port = AgentPort(client=self.client, secret=live.SECRET)
        for head in self.answers:
            for size in range(0, len(head), 13):
                sink = RecordingSink()
                with RawTarget(answer=head[:size]) as agent:
                    live.in_reactor(port.open, agent.address, ATTEMPT, sink)
                    self.assertTrue(sink.has_ended.wait(5.0), head[:size])
                (end,) = sink.ends
                assert end.failure is not None
                self.assertEqual(Verdict.MAY_HAVE_RUN, end.failure.verdict)

    def test_answers_of_the_log(self) -> None:
        calls = JsonClient(client=self.client)
        for head in self.answers:
            for size in range(0, len(head), 13):
                with RawTarget(answer=head[:size]) as log:
                    result = live.in_reactor(
                        calls.call,
                        "POST",
                        f"http://{log.address}/a",
                        dict,
                        {},
                    )
                self.assertTrue(result.is_error(), head[:size])
