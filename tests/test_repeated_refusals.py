"""An engine that repeats an earlier refusal on a kept connection.

The refusal says of another request that it was not run.  Taken for the answer
to the current one, work that runs would be called not run, or run once more.
"""

from typing import Any, cast

import attrs
from testtools import TestCase
from twisted.internet.testing import MemoryReactorClock

from sequoiawind import wire
from sequoiawind.http1_client import Http1Client
from sequoiawind.platform import names
from sequoiawind.platform.engine import EngineClient
from sequoiawind.target_ports import EngineHttpPort
from sequoiawind.verdict import Reason, Verdict, not_run
from sequoiawind.wire import Attempt, Ended, LoadReport
from tests.forward_rig import FakeCaller, ForwardRig, target
from tests.stand_ins import Peer, accept

ADDRESS = "10.0.0.1:80"
HEADERS = [(b"host", b"h")]
ATTEMPT = Attempt(
    attempt_id="q2",
    request_id="q2",
    account="a",
    kind="k",
    target="t",
    path="/v1/chat/completions",
    method="POST",
    body="{}",
)


def answer(status: int, body: bytes, **headers: str) -> bytes:
    """Return the bytes of an answer; its headers are given with underscores."""
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    for name, value in headers.items():
        lines.append(f"{name.replace('_', '-')}: {value}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class ForwardingTest(TestCase):
    """A call that may not be repeated, forwarded on a kept connection."""

    def setUp(self) -> None:
        super().setUp()
        self.reactor = MemoryReactorClock()
        client = Http1Client(reactor=self.reactor)
        port: Any = EngineClient(client=client)
        self.rig = ForwardRig(clock=self.reactor, port=port)
        self.rig.add(target("e1", address=ADDRESS))
        first = self.rig.submit("book", headers=HEADERS)
        self.peer = accept(self.reactor)
        self.peer.protocol.dataReceived(self.done("q1"))
        self.assertEqual([200], first.statuses)
        self.caller = self.rig.submit("book", headers=HEADERS)
        # It has the kept connection.
        self.assertEqual(1, len(self.reactor.tcpClients))
        self.rig.add(target("e2", address="10.0.0.2:80"))

    def done(self, request_id: str) -> bytes:
        """Return the engine's success."""
        return answer(200, b"done", **{self.echo: request_id})

    @property
    def echo(self) -> str:
        """Name of the header that names the request."""
        return names.ATTEMPT_ID.decode()

    def refusal(self, **headers: str) -> bytes:
        """Return a refusal of an earlier request."""
        not_executed = names.NOT_EXECUTED.decode()
        return answer(503, b"full", **{not_executed: "1"}, **headers)

    def test_answer_after_it_is_delivered(self) -> None:
        self.peer.protocol.dataReceived(self.refusal(**{self.echo: "q1"}))
        self.assertEqual([], self.caller.statuses)
        self.assertIsNone(self.caller.failure)
        self.peer.protocol.dataReceived(self.done("q2"))
        self.assertEqual([200], self.caller.statuses)

    def test_without_an_id_the_request_may_have_run(self) -> None:
        self.peer.protocol.dataReceived(self.refusal())
        self.check_may_have_run(self.caller)

    def test_connection_that_ends_after_it_may_have_run(self) -> None:
        self.peer.protocol.dataReceived(self.refusal(**{self.echo: "q1"}))
        self.reactor.advance(5.1)
        self.check_may_have_run(self.caller)

    def check_may_have_run(self, caller: FakeCaller) -> None:
        """Check the caller's answer, and that no other target is asked."""
        assert caller.failure is not None
        self.assertIs(Verdict.MAY_HAVE_RUN, caller.failure.verdict)
        self.assertEqual(1, len(self.reactor.tcpClients))

    def test_refusal_of_the_request_itself_is_believed(self) -> None:
        self.peer.protocol.dataReceived(self.refusal(**{self.echo: "q2"}))
        self.assertIsNone(self.caller.failure)
        self.assertEqual(2, len(self.reactor.tcpClients))


@attrs.define(kw_only=True, eq=False)
class RecordingSink:
    """Records the chunks and ends of an attempt."""

    chunks: list[bytes] = attrs.field(factory=list)
    ends: list[Ended] = attrs.field(factory=list)

    def started(self, load: LoadReport) -> None:
        """Do nothing."""

    def chunk(self, attempt_id: str, index: int, data: bytes) -> None:
        """Record a chunk."""
        self.chunks.append(data)

    def ended(self, ended: Ended) -> None:
        """Record an end."""
        self.ends.append(ended)


class OpenAiInterfaceTest(TestCase):
    """A sequence at an engine, on a connection that its agent has kept."""

    REFUSAL = wire.encode(not_run(Reason.TARGET_BUSY))

    def second_attempt(self) -> tuple[Peer, RecordingSink]:
        """Return an attempt on a kept connection."""
        reactor = MemoryReactorClock()
        port = EngineHttpPort(client=Http1Client(reactor=reactor))
        first = attrs.evolve(ATTEMPT, attempt_id="q1")
        port.open(ADDRESS, first, cast(Any, RecordingSink()))
        peer = accept(reactor)
        refused = answer(503, self.REFUSAL, x_attempt_id="q1")
        peer.protocol.dataReceived(refused)
        sink = RecordingSink()
        port.open(ADDRESS, ATTEMPT, cast(Any, sink))
        self.assertEqual(1, len(reactor.tcpClients))
        return peer, sink

    def test_repeated_refusal_is_skipped(self) -> None:
        peer, sink = self.second_attempt()
        refused = answer(503, self.REFUSAL, x_attempt_id="q1")
        peer.protocol.dataReceived(refused)
        self.assertEqual([], sink.ends)

    def test_without_an_id_the_attempt_may_have_run(self) -> None:
        peer, sink = self.second_attempt()
        peer.protocol.dataReceived(answer(503, self.REFUSAL))
        (ended,) = sink.ends
        assert ended.failure is not None
        self.assertIs(Verdict.MAY_HAVE_RUN, ended.failure.verdict)
