"""Stand-ins of the platform's store and of its targets, over real sockets.

They implement the published protocol as far as the tests need it.
"""

import base64
import json
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

import attrs

MODEL = "m"
SEAL = "Sequoiawind-Server-Seal"
# Longest time that a read waits for a record, in seconds.
MAX_WAIT_S = 30.0


class Handler(BaseHTTPRequestHandler):
    """Passes calls to the stand-in that owns the server."""

    protocol_version = "HTTP/1.1"

    def log_message(self, format: str, *args: Any) -> None:
        """Log nothing."""

    def handle_any(self) -> None:
        """Read the body and let the stand-in answer."""
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        owner: Any = self.server
        owner.stand_in.answer(self, body)

    def end_headers(self) -> None:
        """End a head, with the idle time for which connections are kept."""
        owner: Any = self.server
        if owner.stand_in.keep_s:
            self.send_header("Keep-Alive", f"timeout={owner.stand_in.keep_s}")
        super().end_headers()

    do_GET = handle_any  # noqa: N815
    do_POST = handle_any  # noqa: N815

    def reply(self, status: int, body: bytes, **headers: str) -> None:
        """Send a whole answer."""
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


@attrs.define(kw_only=True, eq=False)
class StandIn:
    """A server on a free port; a context manager that starts and stops it."""

    server: ThreadingHTTPServer = attrs.field(init=False)
    # Idle time for which it says to keep connections, in seconds; 0 for none.
    keep_s: int = 0

    def __enter__(self) -> "StandIn":
        """Start serving."""
        self.listen(0)
        return self

    def listen(self, port: int) -> None:
        """Serve on a port."""
        self.server = ThreadingHTTPServer(("127.0.0.1", port), Handler)
        self.server.daemon_threads = True
        owner: Any = self.server
        owner.stand_in = self
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def __exit__(self, *exc_info: object) -> None:
        """Stop serving."""
        self.server.shutdown()
        self.server.server_close()

    @property
    def port(self) -> int:
        """The port."""
        return int(self.server.server_address[1])

    @property
    def address(self) -> str:
        """The address as host:port."""
        return f"127.0.0.1:{self.port}"

    def answer(self, call: Handler, body: bytes) -> None:
        """Answer a call."""
        raise NotImplementedError


@attrs.define(kw_only=True, eq=False)
class Store(StandIn):
    """A store of keyed records."""

    topics: dict[str, list[tuple[str, bytes]]] = attrs.field(factory=dict)
    # Contents of the records of the system's own topics.
    logs: dict[str, bytes] = attrs.field(factory=dict)
    log_ends: dict[str, int] = attrs.field(factory=dict)
    changed: threading.Condition = attrs.field(factory=threading.Condition)
    # Whether all calls are refused with status 503.
    is_unavailable: bool = False
    # Topics whose newest records have been sent.
    sent: list[str] = attrs.field(factory=list)
    # Time before the newest records of a topic are sent, in seconds.
    pauses_s: dict[str, float] = attrs.field(factory=dict)

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record; the value None deletes its key."""
        data = b"" if value is None else json.dumps(value).encode()
        with self.changed:
            self.topics.setdefault(topic, []).append((key, data))
            self.changed.notify_all()

    def answer(self, call: Handler, body: bytes) -> None:
        """Answer a read."""
        url = urlsplit(call.path)
        query = {name: item[0] for name, item in parse_qs(url.query).items()}
        if self.is_unavailable:
            call.reply(503, b"")
        elif url.path == "/api/log-newest":
            newest = self.newest(query["topic"])
            self.sent.append(query["topic"])
            call.reply(200, newest)
        elif url.path == "/api/log-append":
            call.reply(200, self.append(query["topic"], body))
        elif url.path == "/api/log-read" and query["topic"] in self.topics:
            call.reply(200, self.read(query))
        elif url.path == "/api/log-read":
            call.reply(200, self.read_log(query["topic"], int(query["from"])))
        else:
            call.reply(404, b"")

    def append(self, topic: str, body: bytes) -> bytes:
        """Append the records of a call to a topic of the system's own."""
        with self.changed:
            if topic.startswith("keyed."):
                records = self.topics.setdefault(topic, [])
                records += map(keyed, contents(body))
                self.changed.notify_all()
                return json.dumps({"end": len(records)}).encode()
            self.logs[topic] = self.logs.get(topic, b"") + body
            self.log_ends[topic] = self.log_ends.get(topic, 0) + count(body)
            return json.dumps({"end": self.log_ends[topic]}).encode()

    def read_log(self, topic: str, start: int) -> bytes:
        """Return the records of a topic of the system's own, at once."""
        with self.changed:
            body, end = self.logs.get(topic, b""), self.log_ends.get(topic, 0)
        for _ in range(start):
            (length,) = struct.unpack_from(">I", body)
            body = body[4 + length :]
        return struct.pack(">QQ", end, 0) + body

    def newest(self, topic: str) -> bytes:
        """Return the newest record of each key."""
        time.sleep(self.pauses_s.get(topic, 0.0))
        with self.changed:
            records = list(self.topics.get(topic, ()))
        newest = {key: value for key, value in records if value}
        for key, value in records:
            if not value:
                newest.pop(key, None)
        items = [
            {"key": key, "value": base64.b64encode(value).decode()}
            for key, value in newest.items()
        ]
        page = {"items": items, "has_more": False, "end": len(records)}
        return json.dumps(page).encode()

    def read(self, query: dict[str, str]) -> bytes:
        """Return the records from an offset on, waiting for a first one."""
        start = int(query["from"])
        wait_s = min(MAX_WAIT_S, int(query.get("wait_ms", "0")) / 1000)
        ends_s = time.monotonic() + wait_s
        with self.changed:
            while len(self.topics.get(query["topic"], ())) <= start:
                left_s = ends_s - time.monotonic()
                if left_s <= 0.0 or self.is_unavailable:
                    break
                self.changed.wait(left_s)
            records = list(self.topics.get(query["topic"], ()))
        out = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            out += struct.pack(">I", len(content)) + content
        return out


def contents(body: bytes) -> list[bytes]:
    """Return the records of a body."""
    records: list[bytes] = []
    while body:
        (length,) = struct.unpack_from(">I", body)
        records.append(body[4 : 4 + length])
        body = body[4 + length :]
    return records


def count(body: bytes) -> int:
    """Return how many records a body has."""
    return len(contents(body))


def keyed(content: bytes) -> tuple[str, bytes]:
    """Return the key and the value of a keyed record."""
    return content[1 : 1 + content[0]].decode(), content[1 + content[0] :]


@attrs.define(kw_only=True, eq=False)
class Target(StandIn):
    """A model engine, or a plain service if it has no weights."""

    id: str
    weights: int = 1
    orders: list[dict[str, Any]] = attrs.field(factory=list)
    # Requests that ran, as headers in lower case with the path and body.
    ran: list[dict[str, str]] = attrs.field(factory=list)
    # Events of a stream, and the pause before each, in seconds.
    events: int = 5
    pause_s: float = 0.0

    def entry(self, pool: str, **changes: object) -> dict[str, object]:
        """Return the target's entry in the store."""
        usual = {
            "service": pool,
            "address": self.address,
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": 5,
            "models": [{"name": MODEL, "version": self.weights}],
        }
        return {**usual, **changes}

    def answer(self, call: Handler, body: bytes) -> None:
        """Answer a call."""
        if call.path == "/api/report":
            call.reply(200, self.report())
        elif call.path == "/api/order":
            order = json.loads(body)
            self.orders.append(order)
            self.weights = order["version"]
            call.reply(202, b"")
        elif call.path.startswith("/api/"):
            call.reply(429, b"")
        else:
            self.run(call, body)

    def report(self) -> bytes:
        """Return the report of the target's state."""
        models = [{"name": MODEL, "version": self.weights, "adapters": []}]
        return json.dumps(
            {
                "models": models,
                "busy": False,
                "seq": len(self.orders),
                "waiting": 0,
                "running": 0,
                "kv_used": 0,
                "born": 5,
            }
        ).encode()

    def run(self, call: Handler, body: bytes) -> None:
        """Run a request if it is meant for this target and its weights."""
        headers = {name.lower(): item for name, item in call.headers.items()}
        expected = headers.get("sequoiawind-expect-version", str(self.weights))
        if headers.get("sequoiawind-expect-instance") != self.id or (
            expected != str(self.weights)
        ):
            call.reply(421, b"", Sequoiawind_Not_Executed="1")
            return
        self.ran.append({**headers, "path": call.path, "body": body.decode()})
        echo = headers.get("sequoiawind-attempt-id", "")
        if "sequoiawind-model" not in headers:
            call.reply(
                200, b"done", Sequoiawind_Attempt_Id=echo, **{SEAL: "s1"}
            )
            return
        call.send_response(200)
        call.send_header("Sequoiawind-Attempt-Id", echo)
        call.send_header(SEAL, "s1")
        call.send_header("Transfer-Encoding", "chunked")
        call.end_headers()
        first = 1 + int(headers.get("last-event-id", "0"))
        for number in range(first, self.events + 1):
            time.sleep(self.pause_s)
            data = b"id: %d\ndata: x\n\n" % number
            call.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        call.wfile.write(b"0\r\n\r\n")


def configuration(
    version: int, key: str = "k1", timeout_ms: int = 20_000
) -> dict[str, object]:
    """Return a configuration with a route for each kind."""

    def route(name: str, kind: str, service: str, **more: object) -> object:
        return {
            "name": name,
            "host": "h.example",
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": timeout_ms,
            "target_latency_ms": 500,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
            **more,
        }

    return {
        "version": version,
        "routes": [
            route("book", "non_idempotent", "app"),
            route("read", "idempotent", "app"),
            route("open", "idempotent", "app", public=True),
            route("brief", "streaming", "llm", sticky=True),
            route("draft", "streaming", "llm", sticky=True, resumable=True),
        ],
        "services": [
            {"name": "app"},
            {
                "name": "llm",
                "engine": {
                    "kv_capacity_tokens": 9_000,
                    "models": [{"name": MODEL}],
                },
            },
        ],
        "tenants": [{"name": "acme", "api_keys": [key]}],
    }
