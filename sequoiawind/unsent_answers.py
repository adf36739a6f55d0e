"""Finished answers whose last bytes have not left the process yet.

A daemon that stops waits for them: stopping the reactor would cut them off.
"""

from typing import Any

import attrs
from twisted.web import server

from sequoiawind import defaults, http_server, sockets
from sequoiawind.ports import Clock


@attrs.frozen(kw_only=True)
class Unsent:
    """A connection with a finished answer."""

    transport: Any
    # When a peer that does not read is no longer waited for, in seconds of the
    # clock.
    until_s: float


@attrs.define(kw_only=True)
class UnsentAnswers:
    """The connections of one server on which finished answers are sent."""

    clock: Clock
    entries: list[Unsent] = attrs.field(factory=list)

    def track(self, request: server.Request) -> None:
        """Note the connection of a request once its answer is finished."""
        channel: Any = request.channel
        done = http_server.when_finished(request)
        done.addCallback(lambda _: self.add(channel.transport))

    def add(self, transport: Any) -> None:
        """Add a connection, and drop those whose answers have left."""
        self.drop_sent()
        until_s = self.clock.seconds() + defaults.SEND_TIMEOUT_S
        self.entries.append(Unsent(transport=transport, until_s=until_s))

    def drop_sent(self) -> None:
        """Drop the connections that need not be waited for."""
        now_s = self.clock.seconds()
        self.entries = [
            entry
            for entry in self.entries
            if entry.until_s > now_s and sockets.has_unsent(entry.transport)
        ]

    @property
    def is_empty(self) -> bool:
        """Whether all finished answers have left."""
        self.drop_sent()
        return not self.entries
