"""Pages that a forwarding daemon serves to other processes: status, metrics.

They go through the server that takes callers' requests, so that a daemon loads
and starts no second one.
"""

import traceback
from collections.abc import Awaitable, Callable, Mapping
from typing import Final

import attrs
import structlog
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry
from twisted.internet.defer import Deferred

from sequoiawind import event_loop, metrics
from sequoiawind.headers import CallerLimits
from sequoiawind.http1_server import CallerConnection, CallerSite, HttpRequest
from sequoiawind.options import Address
from sequoiawind.verdict import Reason

METRICS_PATH: Final = b"/metrics"

Logger = structlog.typing.FilteringBoundLogger


@attrs.frozen(kw_only=True)
class Page:
    """What is served at a path."""

    content_type: str
    body: Callable[[HttpRequest], Awaitable[bytes]]


@attrs.define(kw_only=True)
class Pages:
    """Serves pages by their path."""

    pages: Mapping[bytes, Page]
    log: Logger

    def listen(self, address: Address) -> None:
        """Serve the pages at an address."""
        site = CallerSite(
            clock=event_loop.reactor,
            on_request=self.take,
            limits=CallerLimits,
            on_refusal=self.refused,
        )
        event_loop.reactor.listenTCP(
            address.port, site, event_loop.LISTEN_BACKLOG, address.host
        )

    def take(self, request: HttpRequest, connection: CallerConnection) -> None:
        """Answer a request."""
        page = self.pages.get(request.target.partition(b"?")[0])
        if page is None or request.method != b"GET":
            connection.reply(404, [], b"")
            return
        Deferred.fromCoroutine(self.answer(page, request, connection))

    async def answer(
        self, page: Page, request: HttpRequest, connection: CallerConnection
    ) -> None:
        """Answer with a page once its body is there."""
        try:
            body = await page.body(request)
        except Exception:
            # The process serves on; whoever asked hears of the fault.
            self.log.error(
                "page failed",
                page=request.target[:80].decode("latin-1"),
                traceback=traceback.format_exc(limit=-4),
            )
            connection.reply(500, [], b"")
            return
        content_type = page.content_type.encode()
        connection.reply(200, [(b"content-type", content_type)], body)

    def refused(self, reason: Reason) -> None:
        """Log a request that was refused before it had been read."""
        self.log.info("page request refused", reason=reason.value)


def metrics_page(registry: CollectorRegistry) -> Page:
    """Return the page of a daemon's metrics."""

    async def body(request: HttpRequest) -> bytes:
        return metrics.render(registry)

    return Page(content_type=CONTENT_TYPE_LATEST, body=body)
