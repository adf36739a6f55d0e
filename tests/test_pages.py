"""Pages that a daemon serves to other processes, over transports in memory."""

import random

import structlog
from prometheus_client import CollectorRegistry, Counter
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sequoiawind.caller_site import CallerSite
from sequoiawind.headers import CallerLimits
from sequoiawind.http_request import HttpRequest
from sequoiawind.pages import METRICS_PATH, Page, Pages, metrics_page
from sequoiawind.verdict import Reason
from tests.stand_ins import FakeTransport


class PagesTest(TestCase):
    """One daemon's pages."""

    def setUp(self) -> None:
        super().setUp()
        self.waiting: Deferred[bytes] = Deferred()
        registry = CollectorRegistry()
        Counter("things", "Things.", registry=registry).inc()
        self.pages = Pages(
            pages={
                METRICS_PATH: metrics_page(registry),
                b"/slow": Page(content_type="text/plain", body=self.slow),
                b"/broken": Page(content_type="text/plain", body=self.broken),
            },
            log=structlog.get_logger(),
        )

    async def slow(self, request: HttpRequest) -> bytes:
        return await self.waiting

    async def broken(self, request: HttpRequest) -> bytes:
        raise RuntimeError(str(random.random()))

    def connect(self) -> tuple[FakeTransport, CallerSite]:
        self.refused: list[Reason] = []
        site = CallerSite(
            clock=Clock(),
            on_request=self.pages.handle_request,
            limits=CallerLimits,
            on_refusal=self.refused.append,
        )
        protocol = site.buildProtocol(None)
        transport = FakeTransport()
        protocol.makeConnection(transport)
        self.protocol = protocol
        return transport, site

    def request_page(self, line: bytes) -> bytes:
        """Return the answer to a request, as far as it has been sent."""
        transport, _ = self.connect()
        self.protocol.dataReceived(line + b" HTTP/1.1\r\nHost: h\r\n\r\n")
        answer: bytes = transport.value()
        return answer

    def test_statuses_and_metrics(self) -> None:
        for line, status in (
            (b"GET /metrics", b"HTTP/1.1 200"),
            (b"GET /metrics?x=1", b"HTTP/1.1 200"),
            (b"GET /other", b"HTTP/1.1 404"),
            (b"POST /metrics", b"HTTP/1.1 404"),
            (b"GET /broken", b"HTTP/1.1 500"),
        ):
            answer = self.request_page(line)
            self.assertTrue(answer.startswith(status), (line, answer))
        self.assertIn(b"things_total 1.0", self.request_page(b"GET /metrics"))

    def test_waits_for_the_body(self) -> None:
        transport, _ = self.connect()
        request = b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
        self.protocol.dataReceived(request)
        self.assertEqual(b"", transport.value())
        self.waiting.callback(b"now")
        self.assertTrue(transport.value().endswith(b"now"))

    def test_nothing_is_sent_after_a_disconnect(self) -> None:
        transport, site = self.connect()
        request = b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
        self.protocol.dataReceived(request)
        self.protocol.connectionLost()
        self.waiting.callback(b"now")
        self.assertEqual(b"", transport.value())
        self.assertEqual(set(), site.connections)
