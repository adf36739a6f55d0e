"""Messages between the daemons, and their JSON encoding.

The classes are plain data.  Only ``encode`` and ``decode`` convert between
messages and bytes.  A malformed message raises ``WireError``, which carries
no ``Failure``; every receiver turns it into a refusal.
"""

import base64
from typing import Any, TypeVar

import attrs
import msgspec

from sequoiawind.verdict import Failure

T = TypeVar("T")


class WireError(ValueError):
    """A message that does not have the form its receiver expects."""


@attrs.frozen(kw_only=True)
class LoadReport:
    """A target's state as its agent knows it; sent along with answers."""

    target: str = ""
    # Identifies one run of the target; changes when it restarts.
    incarnation: str = ""
    # Estimated wait before new work would start, in seconds.
    wait_s: float = 0.0
    queued: int = 0
    running: int = 0
    draining: bool = False
    version: str = ""


@attrs.frozen(kw_only=True)
class Usage:
    """Token counts of an answer."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


@attrs.frozen(kw_only=True)
class Reply:
    """A whole HTTP reply of a plain service."""

    status: int
    content_type: str
    # See `encode_body`.
    body: str


@attrs.frozen(kw_only=True)
class Attempt:
    """One attempt to run one request on one target."""

    attempt_id: str
    request_id: str
    account: str
    kind: str
    target: str
    # Scheduling: larger priorities go first; weight is the account's share.
    priority: int = 5
    weight: float = 1.0
    # Refuse if the first token would come later than this, in seconds.
    max_first_s: float = 0.0
    # Wait accepted for a cached prefix, as a multiple of the time that
    # recomputing the prefix would take.
    patience: float = 1.0
    # Refuse if the wait plus `patience` times the computing time is longer
    # than this, in seconds; negative for no limit.
    max_cost_s: float = -1.0
    # Time left for the whole request, in seconds.
    deadline_s: float = 60.0
    # Model engines only.
    model: str = ""
    version: str = ""
    cache_salt: str = ""
    prompt: str = ""
    max_tokens: int = 0
    # Index of the first chunk wanted, and the text of the chunks before it.
    start_index: int = 0
    partial: str = ""
    # Resume the chunks of this attempt instead of starting a new one.
    resume_of: str = ""
    # Plain services only.
    method: str = ""
    path: str = ""
    content_type: str = ""
    body: str = ""
    idempotency_key: str = ""


@attrs.frozen(kw_only=True)
class Probe:
    """Queries an agent for how soon a request could start on its target."""

    target: str
    account: str
    priority: int
    weight: float
    # The prompt's prefix hashes, as `prefix.chain` makes them.
    chain: list[int]
    prompt_tokens: int
    max_tokens: int


@attrs.frozen(kw_only=True)
class ProbeAnswer:
    """An agent's answer to a probe."""

    load: LoadReport
    # Wait that a request of this account and priority would have, in seconds.
    wait_s: float
    # Prompt tokens that the target has cached.
    hit_tokens: int
    # Time to compute one prompt token, in seconds.
    prefill_token_s: float


@attrs.frozen(kw_only=True)
class Ended:
    """The end of an attempt: it succeeded unless `failure` is set."""

    failure: Failure | None = None
    # The answer of a plain service; an engine's answer is sent in chunks.
    reply: Reply | None = None
    usage: Usage = attrs.field(factory=Usage)
    load: LoadReport | None = None
    # The answer that a probe would have got; set if the attempt was refused
    # for its wait or cost.
    probe: ProbeAnswer | None = None


@attrs.frozen(kw_only=True)
class TargetStatus:
    """Status of a forwarded target, sent by its agent to the routers."""

    # Increases with each change; a router polls for a status with a higher
    # number than the last one it received.
    number: int = 0
    # The target's name, by which a router checks that the status is that of
    # the target it knows.
    target: str = ""
    # Its start as it reports it, in milliseconds since the epoch, by which a
    # router learns of a later one before its entry arrives; 0 if unknown.
    born_ms: int = 0
    waiting: int = 0
    running: int = 0
    # Running requests whose prompts are still being processed.
    reading: int = 0
    # Tokens in memory that cannot be evicted.
    used_tokens: int = 0
    # The target refuses new work because it is loading weights or about to.
    is_loading: bool = False
    # The target will load weights soon; only short requests should start.
    is_winding_down: bool = False
    is_draining: bool = False
    # The target answers its agent.
    is_reachable: bool = True
    # Weights version by model.
    versions: dict[str, int] = attrs.field(factory=dict)
    # Number of routers that have polled this agent recently.
    routers: int = 0
    # Requests a second that the target takes from all routers together; None if
    # it states no limit.
    limit_per_s: float | None = None


@attrs.frozen(kw_only=True)
class DemandMessage:
    """The demand that a router sees, sent to its peers."""

    router: str
    # Requests a second by client account.
    demand: dict[str, float]


def encode(message: object) -> bytes:
    """Return the JSON encoding of a message."""
    return msgspec.json.encode(message)


def decode(data: bytes | str, kind: type[T]) -> T:
    """Decode JSON into a message of the given class.

    Args:
      data: UTF-8 JSON.
      kind: The class expected.

    Returns:
      The message.

    Raises:
      WireError: The data is not JSON, or not of that class.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise WireError(str(error)) from error


def encode_body(content: bytes) -> str:
    """Return the body of a reply as text that JSON can carry (Base64)."""
    return base64.b64encode(content).decode()


def decode_body(text: str) -> bytes:
    """Return the body from the text that `encode_body` returned."""
    return base64.b64decode(text)


def to_builtins(message: object) -> Any:
    """Return a message as plain dictionaries, lists and scalars."""
    return msgspec.to_builtins(message)


def from_builtins(value: object, kind: type[T]) -> T:
    """Convert plain dictionaries and lists into a message.

    Raises:
      WireError: The value does not have that form.
    """
    try:
        return msgspec.convert(value, type=kind)
    except msgspec.MsgspecError as error:
        raise WireError(str(error)) from error
