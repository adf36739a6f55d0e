"""Pages that a forwarding daemon serves to other processes: status, metrics.

They are served by the same HTTP server classes as callers' requests, so that a
daemon does not load a second HTTP implementation.
"""

import traceback
from collections.abc import Awaitable, Callable, Mapping
from typing import Final

import attrs
import structlog
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry
from twisted.internet.defer import Deferred

from sequoiawind import event_loop, metrics
from sequoiawind.caller_site import CallerSite
from sequoiawind.headers import CallerLimits
from sequoiawind.http1_server import CallerConnection
from sequoiawind.http_request import HttpRequest
from sequoiawind.options import Address
from sequoiawind.staged_close import StagedCloser
from sequoiawind.verdict import Reason

METRICS_PATH: Final = b"/metrics"

Logger = structlog.typing.FilteringBoundLogger


@attrs.frozen(kw_only=True)
class Page:
    """The content type of a page, and the function that returns its body."""

    content_type: str
    body: Callable[[HttpRequest], Awaitable[bytes]]


@attrs.define(kw_only=True)
class Pages:
    """Serves pages by their path."""

    pages: Mapping[bytes, Page]
    log: Logger
    # Closes the connections; None to do so with the default bounds.
    closer: StagedCloser | None = None

    def listen(self, address: Address) -> None:
        """Serve the pages at an address."""
        site = CallerSite(
            clock=event_loop.reactor,
            on_request=self.handle_request,
            limits=CallerLimits,
            on_refusal=self.log_refusal,
            closer=self.closer,
        )
        event_loop.reactor.listenTCP(
            address.port, site, event_loop.LISTEN_BACKLOG, address.host
        )

    def handle_request(
        self, request: HttpRequest, connection: CallerConnection
    ) -> None:
        """Answer a request with its page, or with status 404."""
        page = self.pages.get(request.request_target.partition(b"?")[0])
        if page is None or request.method != b"GET":
            connection.reply(404, [], b"")
            return
        Deferred.fromCoroutine(self.send_page(page, request, connection))

    async def send_page(
        self, page: Page, request: HttpRequest, connection: CallerConnection
    ) -> None:
        """Send a page once its body is available; status 500 if it fails."""
        try:
            body = await page.body(request)
        except Exception:
            # A failing page does not stop the daemon; the client gets a 500.
            self.log.error(
                "page failed",
                page=request.request_target[:80].decode("latin-1"),
                traceback=traceback.format_exc(limit=-4),
            )
            connection.reply(500, [], b"")
            return
        content_type = page.content_type.encode()
        connection.reply(200, [(b"content-type", content_type)], body)

    def log_refusal(self, reason: Reason) -> None:
        """Log a request that was refused before it was read completely."""
        self.log.info("page request refused", reason=reason.value)


def metrics_page(registry: CollectorRegistry) -> Page:
    """Return a page that renders a registry's metrics."""

    async def body(request: HttpRequest) -> bytes:
        return metrics.render(registry)

    return Page(content_type=CONTENT_TYPE_LATEST, body=body)
