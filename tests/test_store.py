"""Calls to the platform's store: records and leases."""

import base64
import json
import struct
from typing import Any

from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from sequoiawind.http1_client import Http1Client
from sequoiawind.options import Address
from sequoiawind.origin_registry import OriginRecord
from sequoiawind.platform import leases, store
from sequoiawind.platform.crashes import CrashLog
from sequoiawind.platform.origins import OriginLog
from sequoiawind.record_ports import KeyedRecord, RecordsLost
from sequoiawind.stream_origins import StreamOrigin
from sequoiawind.verdict import Failure
from tests.stand_ins import accept


def framed(*records: bytes) -> bytes:
    """Return records framed as in the body of a read."""
    return b"".join(struct.pack(">I", len(item)) + item for item in records)


class StoreTest(TestCase):
    """Calls to the store, truncated answers included."""

    def answer(self, call: str, reply: bytes) -> Any:
        reactor = MemoryReactorClock()
        client = store.StoreClient(
            client=Http1Client(reactor=reactor),
            address=Address(host="10.0.0.9", port=80),
        )
        if call == "newest":
            pending = client.newest("keyed.op", "", 1.0)
        else:
            pending = client.read("keyed.op", 5, 1.0, 2.0)
        results: list[Any] = []
        Deferred.fromCoroutine(pending).addCallback(results.append)
        peer = accept(reactor)
        self.request = peer.take_sent()
        peer.protocol.dataReceived(reply)
        return results[0]

    def reply(
        self, body: bytes, status: int = 200, more_head: bytes = b""
    ) -> bytes:
        head = b"HTTP/1.1 %d x\r\n%scontent-length: %d\r\n\r\n"
        return head % (status, more_head, len(body)) + body

    def test_era_of_each_answer(self) -> None:
        era = b"Store-Era: 3\r\n"
        body = struct.pack(">QQ", 7, 0) + framed(b"\x01kvalue", b"\x01k")
        page = self.answer("read", self.reply(body, more_head=era)).ok
        self.assertEqual(3, page.era)
        self.assertEqual([(3, 5), (3, 6)], [r.stamp for r in page.records])
        items = b'{"items": [{"key": "k", "value": "dg==", "offset": 4}]}'
        page = self.answer("newest", self.reply(items, more_head=era)).ok
        self.assertEqual((3, (3, 4)), (page.era, page.records[0].stamp))
        gone = self.answer("read", self.reply(b"{}", 410, more_head=era))
        self.assertEqual(RecordsLost(era=3), gone.error)
        for text in (b"x", b"", "²".encode()):
            era = b"Store-Era: " + text + b"\r\n"
            page = self.answer("newest", self.reply(b"{}", more_head=era)).ok
            self.assertEqual(0, page.era)

    def test_crash_records_written(self) -> None:
        for at, expected in ((None, False), (7, True)):
            reactor = MemoryReactorClock()
            client = store.StoreClient(
                client=Http1Client(reactor=reactor),
                address=Address(host="10.0.0.9", port=80),
            )
            records = [
                KeyedRecord(key="k", value=b"value"),
                KeyedRecord(key="gone", value=None),
            ]
            pending = CrashLog(store=client).write(records, 1.0, at)
            results: list[Any] = []
            Deferred.fromCoroutine(pending).addCallback(results.append)
            peer = accept(reactor)
            request = peer.take_sent()
            self.assertIn(b"topic=keyed.prompt-crashes", request)
            self.assertEqual(expected, b"at=7" in request)
            body = framed(b"\x01kvalue", b"\x04gone")
            self.assertTrue(request.endswith(body), request)
            # 412: the partition ends at another offset.
            peer.protocol.dataReceived(self.reply(b"{}", 412 if at else 200))
            self.assertEqual(expected, results[0].is_error())

    def test_read(self) -> None:
        body = struct.pack(">QQ", 7, 0) + framed(b"\x01kvalue", b"\x01k")
        page = self.answer("read", self.reply(body)).ok
        self.assertIn(b"from=5", self.request)
        values = [(item.key, item.value) for item in page.records]
        self.assertEqual([("k", b"value"), ("k", None)], values)
        self.assertEqual((7, False), (page.end, page.has_more))

    def test_truncated_answers(self) -> None:
        whole = struct.pack(">QQ", 7, 0) + framed(b"\x01kvalue")
        for body in (b"", whole[:12], whole[:-2], whole + b"\x00", b"{}"):
            result = self.answer("read", self.reply(body))
            self.assertTrue(result.is_error(), body)
        item = '{"items": [{"key": "k", "value": "é"}]}'.encode()
        for body in (
            b"",
            b"{",
            b'{"items": [{"key": "k", "value": "*"}]}',
            item,
        ):
            result = self.answer("newest", self.reply(body))
            self.assertTrue(result.is_error(), body)

    def test_newest(self) -> None:
        value = base64.b64encode(b"v").decode()
        body = json.dumps(
            {
                "items": [{"key": "k", "value": value, "offset": 4}],
                "has_more": True,
                "end": 6,
            }
        ).encode()
        page = self.answer("newest", self.reply(body)).ok
        self.assertEqual(b"v", page.records[0].value)
        self.assertEqual((6, True), (page.end, page.has_more))

    def test_error_statuses(self) -> None:
        deleted = self.answer("read", self.reply(b"{}", 410))
        self.assertIsInstance(deleted.error, RecordsLost)
        for status in (429, 500, 503):
            result = self.answer("read", self.reply(b"", status))
            self.assertIsInstance(result.error, Failure)


class OriginTest(TestCase):
    """The log in which routers record which version began a stream."""

    RECORD, UNKNOWN = (
        OriginRecord(
            request_id="q1", origin=StreamOrigin(pool="llm", software=software)
        )
        for software in ("v1", None)
    )

    def call(self, name: str, *args: Any, reply: bytes) -> Any:
        reactor = MemoryReactorClock()
        log = OriginLog(
            store=store.StoreClient(
                client=Http1Client(reactor=reactor),
                address=Address(host="10.0.0.9", port=80),
            )
        )
        results: list[Any] = []
        pending = getattr(log, name)(*args)
        Deferred.fromCoroutine(pending).addCallback(results.append)
        peer = accept(reactor)
        self.request = peer.take_sent()
        peer.protocol.dataReceived(reply)
        return results[0]

    def reply(self, body: bytes, status: int = 200) -> bytes:
        head = b"HTTP/1.1 %d x\r\ncontent-length: %d\r\n\r\n"
        return head % (status, len(body)) + body

    def test_what_is_appended_is_read(self) -> None:
        for record in (self.RECORD, self.UNKNOWN):
            answer = self.reply(b'{"offset": 0, "end": 1}')
            done = self.call("append", [record], 1.0, reply=answer)
            self.assertTrue(done.is_ok())
            target = b"POST /api/log-append?topic=stream-origins&part=0 HTTP"
            self.assertTrue(self.request.startswith(target))
            content = self.request.partition(b"\r\n\r\n")[2]
            body = struct.pack(">QQ", 3, 0) + content + framed(b"other", b"{}")
            page = self.call("read", 0, 0.0, 1.0, reply=self.reply(body)).ok
            self.assertEqual([record], page.records)
            self.assertEqual((3, False), (page.end, page.has_more))

    def test_failed_calls(self) -> None:
        for status in (429, 503, 507):
            answer = self.reply(b"", status)
            done = self.call("append", [self.RECORD], 1.0, reply=answer)
            self.assertTrue(done.is_error())
            page = self.call("read", 0, 0.0, 1.0, reply=answer)
            self.assertIsInstance(page.error, Failure)
        for body, first in ((b'{"first": 7}', 7), (b"", 0), (b"[]", 0)):
            lost = self.reply(body, 410)
            page = self.call("read", 2, 0.0, 1.0, reply=lost)
            self.assertEqual(RecordsLost(first=first), page.error)


class LeaseTest(TestCase):
    """Calls by which routers share work."""

    def join(self, reply: bytes) -> Any:
        reactor = MemoryReactorClock()
        client = leases.LeaseClient(
            store=store.StoreClient(
                client=Http1Client(reactor=reactor),
                address=Address(host="10.0.0.9", port=80),
            )
        )
        results: list[Any] = []
        Deferred.fromCoroutine(
            client.join("g", "r1", "t", 3.0, 6, 1.0)
        ).addCallback(results.append)
        peer = accept(reactor)
        self.request = peer.take_sent()
        peer.protocol.dataReceived(reply)
        return results[0]

    def reply(self, status: int, body: bytes) -> bytes:
        head = b"HTTP/1.1 %d x\r\nStore-Era: 2\r\ncontent-length: %d\r\n\r\n"
        return head % (status, len(body)) + body

    def test_join(self) -> None:
        body = b'{"generation":7,"parts":[["t",3,840],["other",1,0]]}'
        lease = self.join(self.reply(200, body)).ok
        self.assertTrue(self.request.startswith(b"POST /api/log-join HTTP"))
        self.assertEqual(
            {
                "group": "g",
                "member": "r1",
                "topics": ["t"],
                "ttl_ms": 3000,
                "generation": 6,
            },
            json.loads(self.request.partition(b"\r\n\r\n")[2]),
        )
        self.assertEqual(frozenset({3}), lease.partitions)
        self.assertEqual((2, 7), (lease.era, lease.generation))

    def test_other_answers_give_no_lease(self) -> None:
        for status, body in (
            (429, b""),
            (503, b""),
            (200, b"{}"),
            (200, b'{"generation":7,"parts":[["t"]]}'),
        ):
            result = self.join(self.reply(status, body))
            self.assertTrue(result.is_error(), (status, body))
