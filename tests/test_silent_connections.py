"""Connections that fall silent for good, without a reset, while new ones work.

Guards against answers that wait on such a connection, and against streams that
are cut because each of their targets is asked over one.
"""

import http.client
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
from testtools import TestCase
from twisted.internet import error
from twisted.internet.protocol import connectionDone
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure as TwistedFailure

from sequoiawind import event_loop, http_client, sockets
from sequoiawind.forward_state import ForwardKind
from sequoiawind.headers import Headers
from sequoiawind.http1_client import Http1Client, OutgoingRequest
from sequoiawind.verdict import Failure, Reason, may_have_run, not_run
from tests import live
from tests.forward_rig import KINDS, FakeCaller, ForwardRig, state, target
from tests.platform_standin import Handler, Store, Target, configuration
from tests.silent_relay import SilentRelay
from tests.stand_ins import Peer, accept
from tests.test_forward_path import ENTRY, NODE, PROMPT
from tests.test_forward_processes import WAIT_TIMEOUT_S, free_ports
from tests.test_http1_client import REQUEST, RecordingSink

EVENTS = 30
EVENT_PAUSE_S = 0.1
WHOLE = b"".join(b"id: %d\ndata: x\n\n" % (n + 1) for n in range(EVENTS))
# What a caller has before the connections fall silent.
BEGINNING = b"id: 1\ndata: x\n\n"
# Idle time for which the stand-ins say to keep connections, in seconds.
KEEP_S = 30
# A whole answer of a target that keeps idle connections for long.
KEPT = (
    b"HTTP/1.1 200 OK\r\nx-id: q1\r\nkeep-alive: timeout=%d\r\n"
    b"content-length: 1\r\n\r\nx" % KEEP_S
)
USER_TIMEOUT_S = sockets.USER_TIMEOUT_MS / 1000
# Longer than the silence after which another target is asked.
SILENCE_S = 1.5
# Time of a request that waits for its whole deadline, in ms; longer than any
# wait of a test.
LONG_DEADLINE_MS = 60_000
# Neither the age of a configuration, nor the bound on repeats, nor the end of a
# stop keeps a stream from going on elsewhere.
BOUNDS = """
[bounds]
revoke_ms = 5000
in_force_ms = 1500
repeat_ratio = 10.0
grace_s = 30.0
"""


@attrs.define(kw_only=True, eq=False)
class WaitingSink:
    """A sink that lets other threads wait for the answer."""

    began: threading.Event = attrs.field(factory=threading.Event)
    ended: threading.Event = attrs.field(factory=threading.Event)
    failure: Failure | None = None

    def head(self, status: int, headers: Headers) -> None:
        """Ignore the head."""

    def data(self, data: bytes) -> None:
        """Note that the body has begun."""
        self.began.set()

    def done(self) -> None:
        """Note the end."""
        self.ended.set()

    def failed(self, failure: Failure) -> None:
        """Record the failure."""
        self.failure = failure
        self.ended.set()


@attrs.define(kw_only=True, eq=False)
class Engine(Target):
    """An engine whose streams pause between events if their path says so."""

    keep_s: int = KEEP_S
    events: int = EVENTS

    def run(self, call: Handler, body: bytes) -> None:
        """Run a request."""
        self.pause_s = EVENT_PAUSE_S if call.path.endswith("/slow") else 0.0
        super().run(call, body)


def kind_with_targets(number: int) -> ForwardKind:
    """Return the kind of resumable streams with a number of targets."""
    return attrs.evolve(KINDS["draft"], max_targets=number)


class DetectionTest(TestCase):
    """The client notices connections that have fallen silent."""

    def setUp(self) -> None:
        super().setUp()
        live.start_reactor_thread()
        self.client = Http1Client(reactor=event_loop.reactor)
        self.engine = Engine(id="e1")
        self.engine.__enter__()
        self.addCleanup(self.engine.__exit__)
        self.relay = SilentRelay(port=self.engine.port)
        self.relay.__enter__()
        self.addCleanup(self.relay.__exit__)

    def call(
        self, path: bytes, needs_new_connection: bool = False
    ) -> WaitingSink:
        """Send a request to the engine."""
        request = OutgoingRequest(
            method=b"GET",
            request_target=path,
            headers=[
                (b"host", b"h"),
                (b"sequoiawind-expect-instance", b"e1"),
                (b"sequoiawind-model", b"m"),
            ],
            needs_new_connection=needs_new_connection,
        )
        sink = WaitingSink()
        address = self.relay.address
        live.in_reactor(self.client.call, address, request, sink)
        return sink

    def check_lost(self, sink: WaitingSink) -> None:
        """Check that a call fails as its connection is lost."""
        self.assertTrue(sink.ended.wait(WAIT_TIMEOUT_S))
        assert sink.failure is not None
        self.assertIs(Reason.CONNECTION_LOST, sink.failure.reason)

    def check_whole(self, sink: WaitingSink) -> None:
        """Check that a call ends with a whole answer."""
        self.assertTrue(sink.ended.wait(WAIT_TIMEOUT_S))
        self.assertIsNone(sink.failure)

    def test_request_written_on_a_silent_connection_fails(self) -> None:
        self.check_whole(self.call(b"/x"))
        self.relay.fall_silent()
        lost = self.call(b"/x")
        self.check_whole(self.call(b"/x"))
        self.check_lost(lost)
        self.assertEqual(2, len(self.engine.ran))

    def test_request_that_needs_a_new_connection_gets_one(self) -> None:
        self.check_whole(self.call(b"/x"))
        self.relay.fall_silent()
        self.check_whole(self.call(b"/x", needs_new_connection=True))

    def test_answer_that_stops_without_a_reset_fails(self) -> None:
        sink = self.call(b"/slow")
        self.assertTrue(sink.began.wait(WAIT_TIMEOUT_S))
        self.relay.fall_silent()
        self.check_lost(sink)


class EventCallTest(TestCase):
    """Streams between routers and agents over a connection that has died."""

    def setUp(self) -> None:
        super().setUp()
        live.start_reactor_thread()
        self.client = live.in_reactor(http_client.make_client)
        self.engine = Engine(id="e1")
        self.engine.__enter__()
        self.addCleanup(self.engine.__exit__)
        self.relay = SilentRelay(port=self.engine.port)
        self.relay.__enter__()
        self.addCleanup(self.relay.__exit__)
        self.began, self.ended = threading.Event(), threading.Event()

    def start(self, path: str) -> None:
        """Start a stream."""
        self.began.clear()
        self.ended.clear()
        call = http_client.EventCall(
            client=self.client,
            url=f"http://{self.relay.address}{path}",
            body=b"{}",
            headers={
                "Sequoiawind-Expect-Instance": "e1",
                "Sequoiawind-Model": "m",
            },
            on_event=lambda event: self.began.set(),
            on_refused=lambda failure: self.ended.set(),
            on_lost=self.ended.set,
        )
        live.in_reactor(call.start)

    def test_stream_that_stops_without_a_reset_ends(self) -> None:
        self.start("/slow")
        self.assertTrue(self.began.wait(WAIT_TIMEOUT_S))
        self.relay.fall_silent()
        self.assertTrue(self.ended.wait(WAIT_TIMEOUT_S))

    def test_request_on_a_dead_kept_connection_ends(self) -> None:
        self.start("/x")
        self.assertTrue(self.ended.wait(WAIT_TIMEOUT_S))
        self.relay.fall_silent()
        self.start("/x")
        self.assertTrue(self.ended.wait(WAIT_TIMEOUT_S))


class KeptConnectionTest(TestCase):
    """Kept connections beside one that has died without a reset."""

    def setUp(self) -> None:
        super().setUp()
        self.reactor = MemoryReactorClock()
        self.client = Http1Client(reactor=self.reactor)
        self.kept = [self.open(port) for port in (81, 82)]

    def call(self, port: int, **fields: Any) -> RecordingSink:
        """Send a request to a target."""
        sink = RecordingSink()
        request = attrs.evolve(REQUEST, **fields)
        self.client.call(f"10.0.0.1:{port}", request, sink)
        return sink

    def open(self, port: int) -> Peer:
        """Return the far end of a new connection, which is kept."""
        self.call(port, needs_new_connection=True)
        peer = accept(self.reactor)
        peer.protocol.dataReceived(KEPT)
        return peer

    def lose(self, peer: Peer, after_s: float) -> None:
        """Let a connection be lost some time after a request was written."""
        self.call(81)
        self.reactor.advance(after_s)
        peer.protocol.connectionLost(TwistedFailure(error.ConnectionLost()))

    def uses_kept(self) -> bool:
        """Return whether a request to the other target takes the kept one."""
        connects = len(self.reactor.tcpClients)
        self.call(82)
        return len(self.reactor.tcpClients) == connects

    def test_timeout_of_one_closes_those_that_were_idle_meanwhile(self) -> None:
        self.lose(self.kept[0], USER_TIMEOUT_S)
        self.assertFalse(self.uses_kept())
        self.assertTrue(self.kept[1].transport.is_aborted)

    def test_timeout_after_a_part_of_the_answer(self) -> None:
        self.call(81)
        self.reactor.advance(0.5)
        self.kept[0].protocol.dataReceived(KEPT[:-1])
        self.reactor.advance(USER_TIMEOUT_S)
        lost = TwistedFailure(error.ConnectionLost())
        self.kept[0].protocol.connectionLost(lost)
        self.assertFalse(self.uses_kept())

    def test_connection_that_was_heard_from_meanwhile_is_kept(self) -> None:
        self.call(82)
        self.call(81)
        self.reactor.advance(USER_TIMEOUT_S / 2)
        self.kept[1].protocol.dataReceived(KEPT)
        self.reactor.advance(USER_TIMEOUT_S / 2)
        lost = TwistedFailure(error.ConnectionLost())
        self.kept[0].protocol.connectionLost(lost)
        self.assertTrue(self.uses_kept())

    def test_reset_of_one_leaves_the_others(self) -> None:
        self.lose(self.kept[0], 0.1)
        self.assertTrue(self.uses_kept())

    def test_close_of_one_leaves_the_others(self) -> None:
        self.call(81)
        self.reactor.advance(USER_TIMEOUT_S)
        self.kept[0].protocol.connectionLost(connectionDone)
        self.assertTrue(self.uses_kept())


class FurtherAttemptTest(TestCase):
    """Attempts after one whose connection may have died."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = ForwardRig()
        self.rig.add(*(target(f"e{number}", "llm") for number in range(3)))
        self.rig.configure(
            state(2, kinds={**KINDS, "draft": kind_with_targets(3)})
        )
        self.caller = self.rig.submit("draft")
        self.sent = self.rig.port.sent

    def uses_kept(self) -> list[bool]:
        """Return whether each attempt may go over a kept connection."""
        return [not sent.order.needs_new_connection for sent in self.sent]

    def test_after_a_silence(self) -> None:
        self.sent[0].begin(200, BEGINNING)
        self.rig.advance(SILENCE_S)
        self.assertEqual([True, False], self.uses_kept())
        # Failing to connect does not make kept connections any better.
        unreached = not_run(Reason.CONNECT_FAILED)
        self.sent[1].sink.failed(unreached)
        self.rig.advance(SILENCE_S)
        self.assertEqual([True, False, False], self.uses_kept())

    def test_after_a_lost_connection(self) -> None:
        self.sent[0].sink.failed(may_have_run(Reason.CONNECTION_LOST))
        self.assertEqual([True, False], self.uses_kept())

    def test_after_a_refusal(self) -> None:
        busy = not_run(Reason.TARGET_BUSY)
        self.sent[0].answer(503, refusal=busy)
        self.assertEqual([True, True], self.uses_kept())


class RepeatsUsedUpTest(TestCase):
    """Streams beside many others whose connections die in the same moment."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = ForwardRig()
        self.rig.add(*(target(f"e{number}", "llm") for number in range(3)))
        window = self.rig.forwarder.window
        window.allowance = window.ratio = 0.0

    def lose(self, beginning: bytes) -> FakeCaller:
        """Submit a stream, and let its connection be lost."""
        caller = self.rig.submit("draft")
        lost = self.rig.port.sent[-1]
        if beginning:
            lost.begin(200, beginning)
        lost.sink.failed(may_have_run(Reason.CONNECTION_LOST))
        return caller

    def test_begun_stream_is_cut_at_once(self) -> None:
        # Its caller takes it up again; a wait would take longer than callers
        # stay, as the window has no room for seconds.
        caller = self.lose(BEGINNING)
        self.assertTrue(caller.is_broken)
        self.assertEqual(BEGINNING, caller.body)
        self.assertEqual(1, len(self.rig.port.sent))

    def test_request_without_an_answer_does_not_wait(self) -> None:
        caller = self.lose(b"")
        assert caller.failure is not None
        self.assertIs(Reason.CONNECTION_LOST, caller.failure.reason)


class SilentFleetTest(TestCase):
    """A router whose connections inside the fleet all fall silent."""

    def setUp(self) -> None:
        super().setUp()
        self.store = Store(keep_s=KEEP_S)
        self.app = Target(id="a1", keep_s=KEEP_S)
        self.engines = [Engine(id="e1"), Engine(id="e2")]
        self.relays: dict[str, SilentRelay] = {}
        for name, stand_in in (
            ("store", self.store),
            ("a1", self.app),
            ("e1", self.engines[0]),
            ("e2", self.engines[1]),
        ):
            stand_in.__enter__()
            self.addCleanup(stand_in.__exit__)
            self.relays[name] = SilentRelay(port=stand_in.port)
            self.relays[name].__enter__()
            self.addCleanup(self.relays[name].__exit__)
        self.store.put("keyed.op", "config", configuration(3))
        for engine in self.engines:
            address = self.relays[engine.id].address
            entry = engine.entry("llm", address=address)
            self.store.put("keyed.servers", engine.id, entry)
        address = self.relays["a1"].address
        entry = self.app.entry("app", models=[], address=address)
        self.store.put("keyed.servers", "a1", entry)
        self.prompts = 0
        self.start()

    def start(self) -> None:
        """Start the router, and use a connection to each target."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        agent, metrics, self.callers, self.ready = free_ports(4)
        file = Path(folder.name) / "router.toml"
        node = NODE.format(
            store=self.relays["store"].address,
            target="",
            name="r1",
            agent=agent,
            metrics=metrics,
        )
        entry = ENTRY.format(callers=self.callers, ready=self.ready)
        file.write_text(node + entry + BOUNDS, encoding="utf-8")
        self.router = subprocess.Popen(
            [sys.executable, "-m", "sequoiawind.forward_router_main", file],
            stdout=subprocess.DEVNULL,
        )
        self.addCleanup(self.router.wait)
        self.addCleanup(self.router.kill)
        self.wait_until(lambda: self.status("/read/x") == 200)
        self.wait_until(self.has_used_all_engines)

    def has_used_all_engines(self) -> bool:
        """Send a stream; return whether each engine has run one."""
        self.assertEqual((200, WHOLE), self.whole_answer("/draft/x"))
        return all(engine.ran for engine in self.engines)

    def wait_until(self, condition_holds: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        ends_s = time.monotonic() + WAIT_TIMEOUT_S
        while not condition_holds():
            if time.monotonic() > ends_s:
                raise AssertionError("the condition was not met in time")
            time.sleep(0.02)

    def fall_silent(self) -> None:
        """Let all connections of the router inside the fleet fall silent."""
        for relay in self.relays.values():
            relay.fall_silent()

    def begin(self, target: str, key: str = "k1") -> http.client.HTTPResponse:
        """Send a request; return its answer once its head is there."""
        self.prompts += 1
        parts = f"{self.prompts:x}:80,b{self.prompts:x}:20"
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.callers, timeout=WAIT_TIMEOUT_S
        )
        self.addCleanup(connection.close)
        headers = {
            "Host": "h.example",
            "Authorization": f"Token {key}",
            "Sequoiawind-Attempt-Id": f"q{self.prompts}",
            "Sequoiawind-Deadline-Ms": str(LONG_DEADLINE_MS),
            **PROMPT,
            "Sequoiawind-Prompt-Prefix": parts,
        }
        if not target.startswith(("/draft", "/brief")):
            headers = {
                name: value
                for name, value in headers.items()
                if name not in (*PROMPT, "Sequoiawind-Prompt-Prefix")
            }
        connection.request("POST", target, "body", headers)
        return connection.getresponse()

    def whole_answer(self, target: str) -> tuple[int, bytes]:
        """Send a request; return the status and body of its answer."""
        response = self.begin(target)
        return response.status, response.read()

    def status(self, target: str, key: str = "k1") -> int:
        """Send a request; return the status of its answer, 0 without one."""
        try:
            response = self.begin(target, key)
            response.read()
        except (OSError, http.client.HTTPException):
            return 0
        return response.status

    def test_stream_goes_on_at_the_other_engine(self) -> None:
        stream = self.begin("/draft/slow")
        self.assertEqual(BEGINNING, stream.read(len(BEGINNING)))
        self.fall_silent()
        self.assertEqual(WHOLE, BEGINNING + stream.read())

    def test_configuration_and_stop_wait_on_no_silent_connection(self) -> None:
        self.fall_silent()
        self.store.put("keyed.op", "config", configuration(9, key="k9"))
        self.wait_until(lambda: self.status("/read/x", "k9") == 200)
        self.assertEqual(401, self.status("/read/x"))
        self.store.put("keyed.op", "config", configuration(11))
        self.wait_until(lambda: self.status("/read/x") == 200)
        for engine in self.engines:
            engine.ran.clear()
        self.wait_until(self.has_used_all_engines)
        stream = self.begin("/draft/slow")
        self.assertEqual(BEGINNING, stream.read(len(BEGINNING)))
        self.fall_silent()
        self.router.send_signal(signal.SIGTERM)
        self.assertEqual(WHOLE, BEGINNING + stream.read())
        self.assertEqual(0, self.router.wait(timeout=WAIT_TIMEOUT_S))
