"""Decoding and encoding in the platform's adapter."""

import json
from typing import Any

from expression import Error, Ok
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from sequoiawind.forward_ports import AnswerHead, MoveOrder, SendOrder
from sequoiawind.http1_client import Http1Client
from sequoiawind.http_request import HttpRequest
from sequoiawind.platform import (
    callers,
    configuration,
    engine,
    engine_wire,
)
from sequoiawind.platform.targets import decode_target
from sequoiawind.verdict import Failure, Verdict
from sequoiawind.wire import WireError
from tests.forward_rig import target
from tests.stand_ins import accept

CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "H.example",
            "path_prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 5000,
            "target_latency_ms": 600,
            "priority": 1,
            "traffic_split": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
            "max_attempts": 1,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gap_aim_ms": 400,
        },
        {
            "name": "r2",
            "host": "h.example",
            "path_prefix": "/a/b/",
            "kind": "idempotent",
            "timeout_ms": 400,
            "target_latency_ms": 100,
            "service": "s2",
            "public": True,
        },
    ],
    "services": [
        {
            "name": "s1",
            "max_conns": 9,
            "engine": {
                "kv_capacity_tokens": 500,
                "models": [{"name": "m"}],
                "slots": 4,
            },
        },
        {"name": "s2", "max_conns": 5},
        {"name": "s3", "kv_store_addr": "ip:1", "kv_capacity_tokens": 900},
    ],
    "limits": {"idle_timeout_ms": 15000},
    "tenants": [
        {"name": "t", "api_keys": ["k1", "k2"], "isolated": True},
        {"name": "u", "api_keys": [], "priority": 3},
    ],
    "unknown": {"field": 1},
}


class ConfigurationTest(TestCase):
    """Decoding of the operator's configuration."""

    def test_decoded(self) -> None:
        state = configuration.decode_configuration(json.dumps(CONFIG).encode())
        self.assertEqual(7, state.revision)
        for path, expected in (
            ("/a/x", "r1"),
            ("/a/b/x", "r2"),
            ("/a", None),
            ("/c/", None),
        ):
            route = state.match("h.example", path)
            self.assertEqual(expected, route.name if route else None, path)
        stream = state.kinds["r1"]
        self.assertTrue(stream.is_stream and stream.may_repeat)
        self.assertEqual("never", stream.repeat)
        self.assertEqual(5.0, stream.timeout_s)
        self.assertEqual("idempotent", state.kinds["r2"].repeat)
        self.assertEqual(
            ["t", "t"], [item.name for item in state.accounts.values()]
        )
        self.assertEqual("ip:1", state.pools["s3"].cache_store)
        self.assertEqual(("m",), state.pools["s1"].models)

    def test_unchanged_routes_are_not_built_again(self) -> None:
        # A version of 1,400 routes differs from the last one in a few; building
        # all of them took 0.1 s on a small VM.
        changed = [CONFIG["routes"][0], {**CONFIG["routes"][1], "host": "n"}]
        first, second = (
            configuration.decode_configuration(json.dumps(value).encode())
            for value in (CONFIG, {**CONFIG, "version": 8, "routes": changed})
        )
        self.assertIs(first.routes["r1"], second.routes["r1"])
        self.assertIs(first.kinds["r1"], second.kinds["r1"])
        self.assertEqual("n", second.routes["r2"].host)

    def test_not_a_configuration(self) -> None:
        for value in (
            b"",
            b"\xff\xfe",
            b"[]",
            b'{"version": "7"}',
            b'{"version": 7, "routes": [{}]}',
        ):
            self.assertRaises(
                WireError, configuration.decode_configuration, value
            )


ENTRY: dict[str, Any] = {
    "service": "s1",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "models": [{"name": "m", "version": 3, "adapters": []}],
    "seq": 4,
    "born": 12,
}


class TargetEntryTest(TestCase):
    """Decoding of targets' entries, malformed ones included."""

    def test_decoded(self) -> None:
        decoded = decode_target("i1", json.dumps(ENTRY).encode()).ok
        self.assertEqual(("i1", 12), decoded.incarnation)
        self.assertEqual({"m": 3}, decoded.versions)
        self.assertFalse(decoded.is_draining)
        self.assertEqual("v1", decoded.software)

    def test_invalid_entries(self) -> None:
        for change in (
            {"state": "odd"},
            {"address": 5},
            {"address": "nowhere"},
            {"service": None},
            {"models": "m"},
            {"version": 5},
        ):
            value = json.dumps({**ENTRY, **change}).encode()
            self.assertTrue(decode_target("i1", value).is_error(), change)
        for value in (b"", b"\x00\xff", b"{", b"null"):
            self.assertTrue(decode_target("i1", value).is_error(), value)


class RequestTest(TestCase):
    """Decoding of callers' requests, and encoding of those to targets."""

    def decode(self, *headers: tuple[bytes, bytes]) -> Any:
        return callers.decode_request(
            HttpRequest(
                method=b"POST",
                request_target=b"/a/b?c=d",
                headers=[(b"host", b"H.example:80"), *headers],
                body=b"body",
                arrived_s=1.0,
                read_s=1.0,
            )
        )

    def test_decoded(self) -> None:
        request = self.decode(
            (b"sequoiawind-attempt-id", b"q1"),
            (b"sequoiawind-deadline-ms", b"5000"),
            (b"sequoiawind-model", b"m"),
            (b"sequoiawind-token-count", b"1460,80"),
            (b"sequoiawind-prompt-prefix", b"5c:800,91:410,bad,e4:250"),
            (b"authorization", b"Token k1"),
            (b"last-event-id", b"4"),
            (b"resumes", b" q0 "),
        )
        self.assertEqual(("4", "q0"), (request.last_event_id, request.resumes))
        self.assertEqual(
            ("q1", "h.example", "/a/b", "k1", 5.0),
            (
                request.request_id,
                request.host,
                request.path,
                request.key,
                request.deadline_s,
            ),
        )
        parts = [(part.id, part.tokens) for part in request.prompt.parts]
        self.assertEqual([("5c", 800), ("91", 410), ("e4", 250)], parts)

    def test_malformed_values(self) -> None:
        for headers in (
            [(b"sequoiawind-deadline-ms", b"soon")],
            [(b"authorization", b"Bearer k1")],
            [(b"sequoiawind-model", b"m"), (b"sequoiawind-token-count", b"")],
        ):
            request = self.decode(*headers)
            self.assertEqual(None, request.deadline_s)
            self.assertEqual("", request.key)

    def sent(self, *headers: tuple[bytes, bytes], **fields: Any) -> bytes:
        reactor = MemoryReactorClock()
        client = engine.EngineClient(client=Http1Client(reactor=reactor))
        order = SendOrder(
            request=self.decode(*headers),
            target=target("i1", address="10.0.0.1:80"),
            deadline_s=1.5,
            account="t",
            urgency=2,
            **fields,
        )
        client.send(order, IgnoringSink())
        return accept(reactor).take_sent()

    def test_only_the_system_sets_its_headers(self) -> None:
        sent = self.sent(
            (b"sequoiawind-tenant", b"forged"),
            (b"sequoiawind-kv-hold", b"forged"),
            (b"sequoiawind-pin-ms", b"forged"),
            (b"sequoiawind-cache-salt", b"forged"),
            (b"sequoiawind-expect-version", b"forged"),
            (b"sequoiawind-kv-backup", b"forged"),
            (b"kv-from", b"forged"),
            (b"authorization", b"Token secret"),
            (b"connection", b"x-hop"),
            (b"x-hop", b"forged"),
            (b"x-end", b"kept"),
            (b"last-event-id", b"4"),
        )
        for value in (b"forged", b"secret"):
            self.assertNotIn(value, sent)
        for line in (
            b"POST /a/b?c=d HTTP/1.1",
            b"sequoiawind-tenant: t",
            b"sequoiawind-deadline-ms: 1500",
            b"sequoiawind-expect-instance: i1",
            b"x-end: kept",
            b"last-event-id: 4",
        ):
            self.assertIn(line + b"\r\n", sent)

    def test_position_of_a_resumed_stream(self) -> None:
        sent = self.sent((b"last-event-id", b"4"), after_event=9)
        self.assertIn(b"last-event-id: 9", sent)
        self.assertNotIn(b"last-event-id: 4", sent)
        self.assertNotIn(b"kv-from", sent)

    def test_source_of_a_moved_run(self) -> None:
        forged = (b"kv-from", b"forged")
        sent = self.sent(forged, after_event=9, moved_from="ip:1/h")
        self.assertIn(b"kv-from: ip:1/h\r\n", sent)
        self.assertNotIn(b"forged", sent)

    def test_refusals(self) -> None:
        for status, headers, refused in (
            (503, {b"sequoiawind-not-executed": b"1"}, True),
            (503, {}, False),
            (429, {b"sequoiawind-not-executed": b"1"}, True),
            (421, {}, True),
            (500, {}, False),
            (504, {}, False),
            (200, {}, False),
        ):
            refusal = engine_wire.refusal(status, headers)
            self.assertEqual(refused, refusal is not None, (status, headers))
            if refusal is not None:
                self.assertEqual(Verdict.NOT_RUN, refusal.verdict)

    def test_what_a_target_states_of_itself(self) -> None:
        for status, text, expected in (
            (503, b"2", 2.0),
            (503, b" 0.5 ", 0.5),
            (503, b"", 0.0),
            (503, b"soon", 0.0),
            (503, b"-1", 0.0),
            (503, b"nan", 0.0),
            (503, b"inf", 0.0),
            (429, b"2", 0.0),
            (200, b"2", 0.0),
        ):
            found = {b"retry-after": text}
            self.assertEqual(
                expected, engine_wire.pause_s(status, found), (status, text)
            )
        self.assertEqual(0.0, engine_wire.pause_s(503, {}))
        for text, is_leaving in ((b"1", True), (b"0", False), (b"", False)):
            found = {b"server-leaving": text}
            self.assertEqual(is_leaving, engine_wire.is_leaving(found))


class IgnoringSink:
    """A sink that ignores the answer."""

    def head(self, head: AnswerHead) -> None:
        """Ignore the head."""

    def data(self, data: bytes) -> None:
        """Ignore a part."""

    def done(self) -> None:
        """Ignore the end."""

    def failed(self, failure: Failure) -> None:
        """Ignore the failure."""


class MoveTest(TestCase):
    """Orders to move a run's memory, and their answers."""

    def move(self, reply: bytes, is_last: bool = True) -> Any:
        reactor = MemoryReactorClock()
        client = engine.EngineClient(client=Http1Client(reactor=reactor))
        order = MoveOrder(
            request_id="q1",
            source=target("e1", "llm", address="10.0.0.1:80"),
            destination=target("e2", "llm", address="10.0.0.2:80"),
        )
        results: list[Any] = []
        call = client.move if is_last else client.reserve_move
        pending = call(order, 1.0)
        Deferred.fromCoroutine(pending).addCallback(results.append)
        peer = accept(reactor)
        self.request = peer.take_sent()
        peer.protocol.dataReceived(reply)
        return results[0]

    def reply(self, status: int, body: bytes) -> bytes:
        head = b"HTTP/1.1 %d x\r\ncontent-length: %d\r\n\r\n"
        return head % (status, len(body)) + body

    def test_answers(self) -> None:
        for status, body, expected in (
            (200, b'{"handle":"h7","created_rev":3}', "10.0.0.1:80/h7"),
            (200, b'{"handle":7}', "10.0.0.1:80/7"),
            (200, b"{}", None),
            (200, b"torn", None),
            (404, b"{}", None),
            (409, b"{}", None),
            (503, b'{"handle":"h7"}', None),
        ):
            moved = self.move(self.reply(status, body))
            self.assertEqual(expected, moved.ok if moved.is_ok() else None)
        head, _, sent = self.request.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"POST /api/kv-move HTTP/1.1"))
        self.assertIn(b"sequoiawind-expect-instance: e1", head.lower())
        self.assertEqual(
            {"id": "q1", "to": "10.0.0.2:80", "last": True}, json.loads(sent)
        )

    def test_room_is_reserved_without_stopping_the_run(self) -> None:
        reserved = self.move(self.reply(200, b'{"handle":1}'), is_last=False)
        self.assertEqual("10.0.0.1:80/1", reserved.ok)
        self.assertIn(b'"last":false', self.request)

    def test_release_of_a_moved_run(self) -> None:
        reactor = MemoryReactorClock()
        engine.EngineClient(
            client=Http1Client(reactor=reactor)
        ).release_moved_run("10.0.0.1:80/h7")
        sent = accept(reactor).take_sent()
        self.assertTrue(sent.startswith(b"DELETE /api/kv-handle/h7 HTTP/1.1"))


class ReportTest(TestCase):
    """Decoding of a target's report."""

    def call(self, reply: bytes) -> Any:
        reactor = MemoryReactorClock()
        client = engine.EngineClient(client=Http1Client(reactor=reactor))
        results: list[Any] = []
        pending = client.report("10.0.0.1:80", 1.0)
        Deferred.fromCoroutine(pending).addCallback(results.append)
        accept(reactor).protocol.dataReceived(reply)
        return results[0]

    def test_reports(self) -> None:
        good = (
            b'{"stage":"colocated","models":[{"name":"m","version":1,'
            b'"adapters":[]}],"busy":true,"seq":2,"waiting":1,"running":12,'
            b'"kv_used":41000,"kv_total":90000,"handles":0,"born":5}'
        )
        for body, expected in (
            (good, Ok({"m": 1})),
            (b"{", Error(None)),
            (b'{"models": 1}', Error(None)),
        ):
            head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"
            result = self.call(head % len(body) + body)
            self.assertEqual(expected.is_ok(), result.is_ok(), body)
            if result.is_ok():
                self.assertEqual(expected.ok, result.ok.versions)
                self.assertTrue(result.ok.is_busy)
