"""Interfaces between forwarding and its transports.

``platform`` implements them with the names on the wire; tests with fakes on
a virtual clock.
"""

from collections.abc import Mapping
from typing import Protocol

import attrs
from expression import Result

from sequoiawind.forward_plan import ForwardRequest
from sequoiawind.forward_state import ForwardTarget
from sequoiawind.headers import Headers
from sequoiawind.ports import Call
from sequoiawind.verdict import Failure


@attrs.frozen(kw_only=True)
class SendOrder:
    """One try of one request at one target."""

    request: ForwardRequest
    target: ForwardTarget
    # How long the target may work, in seconds.
    deadline_s: float
    # Name of the caller's client account; empty for none.
    account: str
    # 0 goes first, 9 last.
    urgency: int
    # Weights version that the target must have; None for plain services.
    version: int | None = None
    # Text under which the target caches the prompt's parts.
    salt: str = ""
    # Addresses to fetch cached parts from, and to keep them at; or empty.
    source: str = ""
    keeper: str = ""
    # Id of the last event that the caller has; None to begin.
    after_event: int | None = None
    # Where the memory of the run that goes on lies, as `ForwardPort.move` told;
    # empty for a run of its own.
    moved_from: str = ""


@attrs.frozen(kw_only=True)
class MoveOrder:
    """A run that another target is to go on with."""

    request_id: str
    source: ForwardTarget
    goal: ForwardTarget


@attrs.frozen(kw_only=True)
class AnswerHead:
    """The head of a target's answer."""

    status: int
    # Headers to pass on.
    headers: Headers
    # The target's word that it did not run the request; None if it may have.
    refusal: Failure | None = None
    # Weights version by model that the answer names.
    versions: Mapping[str, int] = attrs.field(factory=dict)


class AttemptSink(Protocol):
    """Receives an answer; ends with exactly one of the last two calls."""

    def head(self, head: AnswerHead) -> None:
        """The answer's head."""

    def data(self, data: bytes) -> None:
        """A part of its body."""

    def done(self) -> None:
        """The answer is complete."""

    def failed(self, failure: Failure) -> None:
        """No complete answer will come."""


class ForwardPort(Protocol):
    """Sends requests to targets."""

    def send(self, order: SendOrder, sink: AttemptSink) -> Call:
        """Send a request and deliver the answer to the sink."""

    async def move(
        self, order: MoveOrder, timeout_s: float
    ) -> Result[str, Failure]:
        """Stop a run and copy its memory to another target.

        Returns:
          Where the memory is, for `SendOrder.moved_from`; or why the run was
          not moved: it goes on, or its stream ends without its end.
        """

    def drop_move(self, moved_from: str) -> None:
        """Free the memory of a run that nobody goes on with."""


@attrs.frozen(kw_only=True)
class PartChange:
    """A part of which a cache now holds more or fewer tokens."""

    salt: str
    part: str
    tokens: int


@attrs.frozen(kw_only=True)
class CacheNews:
    """What has changed in a cache since an earlier question."""

    # Changes when the cache restarts, and then is empty.
    epoch: int
    # Where to go on.
    next_number: int
    # Some changes are missing.
    has_gap: bool
    changes: list[PartChange]


class CachePort(Protocol):
    """Asks targets and keepers what they have cached."""

    async def cache_news(
        self, address: str, since: int, wait_s: float, timeout_s: float
    ) -> Result[CacheNews, Failure]:
        """Return the changes behind a number, waiting for a first one."""


class ForwardCaller(Protocol):
    """The caller's side of a forwarded request."""

    def send_head(self, status: int, headers: Headers) -> None:
        """Send an answer's head, of a body whose length is not known."""

    def send_data(self, data: bytes) -> None:
        """Send a part of the body."""

    def send_end(self) -> None:
        """End the answer."""

    def reply(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""

    def break_off(self) -> None:
        """End an answer so that it does not look complete."""

    def refuse(self, failure: Failure) -> None:
        """Tell why there is no answer."""
