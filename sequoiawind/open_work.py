"""What is open in a forwarding router, for its log."""

from sequoiawind import sockets
from sequoiawind.caller_site import CallerSite
from sequoiawind.forwarder import Forwarder
from sequoiawind.forwarding import Forwarding
from sequoiawind.staged_close import StagedCloser
from sequoiawind.stop_notes import OpenRequest, OpenWork


def of_router(
    forwarder: Forwarder, site: CallerSite, closer: StagedCloser
) -> OpenWork:
    """Return what is open in a router."""
    transports = [
        item.transport for item in (*site.connections, *closer.connections)
    ]
    return OpenWork(
        requests=[describe(item) for item in forwarder.open],
        unread_requests=sum(
            item.arrived_s is not None for item in site.connections
        ),
        connections=len(site.connections),
        closing=len(closer.connections),
        untaken_bytes=sum(map(sockets.untaken_bytes, transports)),
    )


def describe(forwarding: Forwarding) -> OpenRequest:
    """Return what a log tells of an open request."""
    note, attempt = forwarding.note, forwarding.current
    is_sent = attempt is not None and not attempt.is_over
    phase = "sent" if is_sent else "waiting"
    return OpenRequest(
        request_id=note.request_id,
        target=note.targets_tried[-1] if note.targets_tried else "",
        phase="answering" if forwarding.has_head else phase,
        last_event=forwarding.last_event,
    )
