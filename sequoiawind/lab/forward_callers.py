"""Callers of the forwarding soak, and checks of the answers they receive."""

from collections.abc import Callable
from typing import Final

import attrs

from sequoiawind import invariants
from sequoiawind.forward_plan import ForwardRequest
from sequoiawind.forward_state import ForwardKind
from sequoiawind.headers import Headers
from sequoiawind.lab.memory_network import Node
from sequoiawind.lab.stream_content import (
    is_whole_stream,
    last_number,
    software_versions,
    stream_id,
)
from sequoiawind.lab.virtual_clock import VirtualClock
from sequoiawind.verdict import Failure, Verdict

ISOLATED: Final = "walled"
KEYS: Final = {
    "k-a": "open-a",
    "k-b": "open-b",
    "k-b2": "open-b",
    "k-w": ISOLATED,
    "k-w2": ISOLATED,
}
KINDS: Final = {
    item.name: item
    for item in (
        ForwardKind(
            name="read",
            repeat="idempotent",
            max_targets=2,
            timeout_s=2.0,
            aim_s=0.3,
            pause_s=0.4,
        ),
        ForwardKind(
            name="book",
            repeat="never",
            max_targets=2,
            timeout_s=2.0,
            aim_s=0.3,
            pause_s=0.4,
        ),
        ForwardKind(
            name="brief",
            repeat="never",
            is_stream=True,
            max_targets=1,
            timeout_s=4.0,
            aim_s=0.6,
            pause_s=0.4,
        ),
        ForwardKind(
            name="draft",
            repeat="never",
            is_stream=True,
            is_resumable=True,
            max_targets=2,
            timeout_s=6.0,
            aim_s=0.4,
            pause_s=0.4,
        ),
    )
}


@attrs.define(kw_only=True, eq=False)
class ForwardSoakCaller:
    """One request by a caller, and the answer it received."""

    request: ForwardRequest
    kind: ForwardKind
    # The router's process, and its epoch when the request was sent.
    node: Node
    epoch: int
    clock: VirtualClock
    body: bytes = b""
    status: int = 0
    failure: Failure | None = None
    # Whether the answer is complete.
    is_whole: bool = False
    # Whether the router broke the answer off or the caller disconnected.
    is_broken: bool = False
    # Whether the caller reads slowly.
    is_choked: bool = False
    # What the caller has of the stream that it resumes.
    prior: bytes = b""
    has_reconnected: bool = False
    # Whether the router has taken the request on.
    is_accepted: bool = False
    # Deadline by the configuration under which the router accepted it, and
    # the end, negative before it; in seconds of the clock.
    due_s: float
    ended_s: float = -1.0
    # Called when the router aborts the answer, and with a failure.
    on_abort: Callable[["ForwardSoakCaller"], None] = attrs.field(
        default=lambda caller: None
    )
    on_failure: Callable[["ForwardSoakCaller", Failure], None] = attrs.field(
        default=lambda caller, failure: None
    )

    def send_head(self, status: int, headers: Headers) -> None:
        """Record the head of the answer; there must be only one."""
        invariants.check(self.status == 0, "one-head", self.request.request_id)
        self.status = status

    def send_data(self, data: bytes) -> None:
        """Record a part of the body."""
        self.body += data

    def send_end(self) -> None:
        """Record the end of a complete answer."""
        self.is_whole = True
        self.ended()

    def reply(self, status: int, headers: Headers, body: bytes) -> None:
        """Record a complete answer."""
        self.send_head(status, headers)
        self.body = body
        self.send_end()

    def abort_answer(self) -> None:
        """Record the end of an incomplete answer."""
        self.is_broken = True
        self.on_abort(self)
        self.ended()

    def refuse(self, failure: Failure) -> None:
        """Record a failure."""
        self.failure = failure
        self.on_failure(self, failure)
        self.ended()

    def ended(self) -> None:
        """Record the time of the end; there must be only one."""
        request = self.request
        invariants.check(self.ended_s < 0.0, "one-end", request.request_id)
        self.ended_s = self.clock.seconds()

    def check(self, runs: int) -> None:
        """Check the answer against the number of runs of the request."""
        name, kind = self.request.request_id, self.kind
        if not kind.may_repeat:
            invariants.check(
                runs <= 1, "at-most-once", f"request {name} ran {runs} times"
            )
        if self.failure and self.failure.verdict is Verdict.NOT_RUN:
            invariants.check(runs == 0, "not-run-is-not-run", name)
        if not kind.is_stream:
            is_right = not self.is_whole or self.body == name.encode()
            invariants.check(is_right, "whole-answer", name)
            return
        stream, body = stream_id(self.request), self.prior + self.body
        if self.is_whole:
            is_right = is_whole_stream(stream, body)
            invariants.check(is_right, "whole-answer", name)
        versions = software_versions(body)
        invariants.check(
            len(versions) <= 1, "one-version", f"{name} has {sorted(versions)}"
        )

    @property
    def may_reconnect(self) -> bool:
        """Whether the caller has a broken stream and may take it up again.

        It learns that its router was killed when its connection is reset.
        """
        is_reset = self.ended_s < 0.0 and self.node.epoch != self.epoch
        return (
            not self.has_reconnected
            and self.kind.is_resumable
            and self.status == 200
            and (self.is_broken or is_reset)
            and last_number(self.prior + self.body) > 0
        )

    @property
    def is_served(self) -> bool:
        """Whether the caller received a complete answer with status 200."""
        return self.is_whole and self.status == 200
