"""Interfaces between forwarding and its transports.

``platform`` implements them for the wire format; tests use fakes on a virtual
clock.
"""

from collections.abc import Mapping
from typing import Protocol

import attrs
from expression import Result

from sequoiawind.forward_plan import ForwardRequest
from sequoiawind.forward_state import ForwardTarget
from sequoiawind.headers import Framing, Headers
from sequoiawind.ports import Call
from sequoiawind.verdict import Failure, Reason, may_have_run


@attrs.frozen(kw_only=True)
class SendOrder:
    """One attempt to send a request to a target."""

    request: ForwardRequest
    target: ForwardTarget
    # Time that the target has to answer, in seconds.
    deadline_s: float
    # Name of the caller's client account; empty for none.
    account: str
    # 0 goes first, 9 last.
    urgency: int
    # Weights version that the target must have; None for plain services.
    version: int | None = None
    # Salt under which the target caches the prompt's parts.
    salt: str = ""
    # Addresses to fetch cached parts from, and to store them at; or empty.
    source: str = ""
    cache_store: str = ""
    # Id of the last event that the caller has; None to start from the first.
    after_event: int | None = None
    # Location of the memory of a moved run to continue, as returned by
    # `ForwardPort.move`; empty for a new run.
    moved_from: str = ""
    # Whether to open a connection for it, as kept ones may be dead.
    needs_new_connection: bool = False


@attrs.frozen(kw_only=True)
class MoveOrder:
    """An order to move a run to another target."""

    request_id: str
    source: ForwardTarget
    destination: ForwardTarget


@attrs.frozen(kw_only=True)
class AnswerHead:
    """The head of a target's answer."""

    status: int
    # Headers to pass on.
    headers: Headers
    framing: Framing = Framing.LENGTH
    # Set if the target states that it did not run the request.
    refusal: Failure | None = None
    # Weights version by model that the answer reports.
    versions: Mapping[str, int] = attrs.field(factory=dict)
    # The target states that it is leaving.
    is_leaving: bool = False
    # For how long the target wants nothing from this VM, in seconds.
    pause_s: float = 0.0
    # Requests a second that the target takes from all routers together; None if
    # it states no limit.
    limit_per_s: float | None = None

    @property
    def failure(self) -> Failure:
        """The failure that an error status stands for."""
        return may_have_run(Reason.TARGET_ERROR, f"status {self.status}")


class ForwardSink(Protocol):
    """Receives an answer; the last call is one to `done` or `failed`."""

    def head(self, head: AnswerHead) -> None:
        """Receive the answer's head."""

    def data(self, data: bytes) -> None:
        """Receive a part of the body."""

    def done(self) -> None:
        """Receive the end of a complete answer."""

    def failed(self, failure: Failure) -> None:
        """Receive the reason why there will be no complete answer."""


class ForwardPort(Protocol):
    """Sends requests to targets."""

    def send(self, order: SendOrder, sink: ForwardSink) -> Call:
        """Send a request and deliver the answer to the sink."""

    async def reserve_move(
        self, order: MoveOrder, timeout_s: float
    ) -> Result[str, Failure]:
        """Copy the memory of a run that goes on, and keep room for it.

        Returns:
          Location of the memory, for `release_moved_run`; or why there is no
          room.  The run goes on in either case.
        """

    async def move(
        self, order: MoveOrder, timeout_s: float
    ) -> Result[str, Failure]:
        """Stop a run and copy its memory to another target.

        Returns:
          Location of the memory, for `SendOrder.moved_from`; or why the run
          was not moved: then it continues, or its stream breaks off.  A
          failure with the verdict `NOT_RUN` has not stopped the run.
        """

    def release_moved_run(self, moved_from: str) -> None:
        """Free the memory of a moved run that will not be continued."""


@attrs.frozen(kw_only=True)
class PartChange:
    """A prompt part of which a cache now holds more or fewer tokens."""

    salt: str
    # Id of the part, and its tokens that the cache holds now.
    part: str
    tokens: int


@attrs.frozen(kw_only=True)
class CacheChanges:
    """The changes of a cache since a change number."""

    # Changes when the cache restarts, which empties it.
    epoch: int
    # Change number from which to continue.
    next_number: int
    # Some changes are no longer available.
    has_gap: bool
    changes: list[PartChange]


class CachePort(Protocol):
    """Queries targets and cache stores for changes of their caches."""

    async def cache_changes(
        self, address: str, since: int, wait_s: float, timeout_s: float
    ) -> Result[CacheChanges, Failure]:
        """Return the changes since a number, waiting up to `wait_s` for one."""


class ForwardCaller(Protocol):
    """The caller's side of a forwarded request."""

    @property
    def is_choked(self) -> bool:
        """Whether targets are not read, for the caller or for memory.

        A target whose answer is not read is not silent.
        """
        return False

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body length is not known."""

    def send_data(self, data: bytes) -> None:
        """Send a part of the body."""

    def send_end(self) -> None:
        """End the answer."""

    def reply(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""

    def abort_answer(self) -> None:
        """Abort an answer so that it does not look complete."""

    def refuse(self, failure: Failure) -> None:
        """Send a failure instead of an answer."""
