"""A relay on real sockets between callers that read slowly and a target."""

import selectors
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

import attrs

from sequoiawind import event_loop
from sequoiawind.caller_site import CallerSite
from sequoiawind.forward_ports import AnswerHead, SendOrder
from sequoiawind.headers import CallerLimits
from sequoiawind.http1_client import Http1Client
from sequoiawind.http1_server import CallerConnection
from sequoiawind.http_request import HttpRequest
from sequoiawind.platform import callers
from sequoiawind.platform.engine import EngineClient
from sequoiawind.verdict import Failure, Reason
from tests import live
from tests.forward_rig import target

HOST = "127.0.0.1"
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
EVENT = b"id: 1\ndata: " + b"x" * 16_000 + b"\n\n"
# The events of one write, as chunks of a body.
CHUNKS = (b"%x\r\n%s\r\n" % (len(EVENT), EVENT)) * 4
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
WAIT_TIMEOUT_S = 20.0


@attrs.define(kw_only=True, eq=False)
class FloodTarget:
    """Answers each request with a stream that has no end, in one thread."""

    listener: socket.socket = attrs.field(init=False)
    selector: selectors.BaseSelector = attrs.field(
        factory=selectors.DefaultSelector
    )
    # Bytes that each connection has taken.
    sent: dict[socket.socket, int] = attrs.field(factory=dict)
    # The rest of the last write on each connection.
    rest: dict[socket.socket, memoryview] = attrs.field(factory=dict)
    # Longest stream of one connection, in bytes.
    max_bytes: int = 1 << 30
    is_stopped: bool = False

    def start(self) -> None:
        """Listen, and serve in a thread."""
        self.listener = socket.create_server((HOST, 0), backlog=1024)
        self.listener.setblocking(False)
        self.selector.register(self.listener, selectors.EVENT_READ)
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self) -> None:
        """Serve until stopped."""
        while not self.is_stopped:
            for key, _ in self.selector.select(0.05):
                connection: Any = key.fileobj
                if connection is self.listener:
                    self.accept()
                    continue
                try:
                    self.serve_one(connection)
                except OSError:
                    self.selector.unregister(connection)
                    connection.close()
        for item in (*self.sent, self.listener):
            item.close()

    def accept(self) -> None:
        """Accept a connection."""
        connection, _ = self.listener.accept()
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
        self.sent[connection] = 0
        self.selector.register(connection, selectors.EVENT_READ)

    def serve_one(self, connection: socket.socket) -> None:
        """Read a request, or send a part of its answer."""
        if self.sent[connection] == 0:
            if not connection.recv(65_536):
                raise OSError("closed")
            self.rest[connection] = memoryview(HEAD)
            self.selector.modify(connection, selectors.EVENT_WRITE)
        if self.sent[connection] > self.max_bytes:
            self.selector.modify(connection, selectors.EVENT_READ)
            return
        data = self.rest[connection] or memoryview(CHUNKS)
        taken = connection.send(data)
        self.sent[connection] += taken
        self.rest[connection] = data[taken:]


def serve_flood() -> None:
    """Run a target in this process until its input ends."""
    flood = FloodTarget()
    flood.start()
    print(flood.listener.getsockname()[1], flush=True)
    sys.stdin.read()


def start_flood() -> tuple[subprocess.Popen[bytes], str]:
    """Start a target in a process of its own; return it and its address."""
    code = "from tests.slow_peers import serve_flood; serve_flood()"
    process = subprocess.Popen(
        [sys.executable, "-c", code],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert process.stdout is not None
    port = int(process.stdout.readline())
    return process, f"{HOST}:{port}"


@attrs.define(kw_only=True, eq=False)
class PassingSink:
    """Passes an answer to a caller as it arrives."""

    caller: callers.Caller

    def head(self, head: AnswerHead) -> None:
        """Pass the head on."""
        self.caller.send_head(head.status, [])

    def data(self, data: bytes) -> None:
        """Pass a part of the body on."""
        self.caller.send_data(data)

    def done(self) -> None:
        """Pass the end on."""
        self.caller.send_end()

    def failed(self, failure: Failure) -> None:
        """Break the answer off."""
        self.caller.abort_answer()


@attrs.define(kw_only=True, eq=False)
class Relay:
    """Passes all requests to one target; runs in the reactor's thread."""

    address: str
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    # Further arguments of the site.
    options: dict[str, Any] = attrs.field(factory=dict)
    site: CallerSite = attrs.field(init=False)
    client: Http1Client = attrs.field(init=False)
    port: Any = None
    refused: list[Reason] = attrs.field(factory=list)
    # The requests' connections, in the order of arrival.
    taken: list[CallerConnection] = attrs.field(factory=list)

    def start(self) -> None:
        """Listen at a free port."""
        live.start_reactor_thread()
        live.in_reactor(self.listen)

    def listen(self) -> None:
        """Listen; called in the reactor's thread."""
        reactor = event_loop.reactor
        # All connect at once, and share the processor with the target.
        self.client = Http1Client(reactor=reactor, connect_timeout_s=10.0)
        self.site = CallerSite(
            clock=reactor,
            on_request=self.forward,
            limits=lambda: self.limits,
            on_refusal=self.refused.append,
            **self.options,
        )
        self.port = reactor.listenTCP(0, self.site, 1024, HOST)

    def stop(self) -> None:
        """Stop listening and end all connections."""
        live.in_reactor(self.port.stopListening)
        for connection in list(self.site.connections):
            live.in_reactor(connection.transport.abortConnection)

    def forward(self, request: HttpRequest, connection: Any) -> None:
        """Pass a request to the target."""
        self.taken.append(connection)
        order = SendOrder(
            request=callers.decode_request(request),
            target=attrs.evolve(target("t"), address=self.address),
            deadline_s=10.0,
            account="",
            urgency=0,
        )
        sink = PassingSink(caller=callers.Caller(connection=connection))
        call = EngineClient(client=self.client).send(order, sink)
        connection.on_disconnect = call.cancel

    def connect(self, receive_bytes: int = 0) -> socket.socket:
        """Connect a caller, with a receive buffer of a size if given."""
        sock = socket.socket()
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.settimeout(WAIT_TIMEOUT_S)
        sock.connect((HOST, self.port.getHost().port))
        return sock


def wait_until(condition_holds: Callable[[], bool]) -> bool:
    """Wait until a condition holds; return whether it does."""
    ends_s = time.monotonic() + WAIT_TIMEOUT_S
    while not condition_holds():
        if time.monotonic() > ends_s:
            return False
        time.sleep(0.01)
    return True
