"""Claims of idempotency keys, computed by folding a claim stream.

The first claim of a key in offset order holds the key permanently, unless its
own claimant releases it.  There is no lease and no takeover: a claimant that
was paused may be late, but its key has not passed to another claim.
"""

import hashlib
from collections import OrderedDict
from functools import singledispatch
from typing import Final

import attrs
from xxhash import xxh3_64_intdigest

from sequoiawind import defaults, wire

# How long releases are kept, by the log's clock: a claim cannot be accepted
# for longer.
RELEASE_KEPT_S: Final = defaults.KEY_MAX_AGE_S + defaults.KEY_MAX_SKEW_S


@attrs.frozen(kw_only=True)
class Claim:
    """A request for the right to send the action of a key."""

    claim_id: str
    # Account and idempotency key, joined.
    key: str
    # SHA-256 of the request, to refuse a key used for another request.
    digest: str
    kind: str
    owner: str
    # Log time after which the claim is void: by then the log may have dropped
    # an earlier claim of the key.
    valid_until_s: float
    request_id: str = ""


@attrs.frozen(kw_only=True)
class Release:
    """A claimant's statement that it has not sent the action and never will."""

    claim_id: str
    key: str


@attrs.frozen(kw_only=True)
class Outcome:
    """The outcome of an action."""

    claim_id: str
    key: str
    # False if the action may have run without an answer.
    known: bool
    reply: wire.Reply | None = None


@attrs.frozen(kw_only=True)
class Settle:
    """An operator's finding about a key whose outcome was unknown."""

    key: str
    # Whether the action ran.
    ran: bool
    actor: str
    because: str


ClaimNode = Claim | Release | Outcome | Settle

NODES: Final[dict[str, type[ClaimNode]]] = {
    "claim": Claim,
    "release": Release,
    "outcome": Outcome,
    "settle": Settle,
}
VERBS: Final = {node: verb for verb, node in NODES.items()}


@attrs.frozen(kw_only=True)
class ClaimRecord:
    """The stored form of a claim node: its verb and its fields."""

    verb: str
    body: dict[str, object]
    v: int = defaults.RECORD_VERSION


@attrs.define(kw_only=True)
class ClaimEntry:
    """The state of one key in a claim stream."""

    claim: Claim
    # Offset of the claim's record, and when the log stored it.
    offset: int
    time_s: float
    outcome: Outcome | None = None
    settled: Settle | None = None

    @property
    def is_open(self) -> bool:
        """Whether the key has no outcome and has not been settled."""
        return self.outcome is None and self.settled is None

    @property
    def is_stuck(self) -> bool:
        """Whether the outcome is unknown and an operator has to settle it."""
        unknown = self.outcome is not None and not self.outcome.known
        return unknown and self.settled is None


@attrs.define(kw_only=True)
class ClaimTable:
    """The state that results from folding one claim stream."""

    next_offset: int = 0
    # Keys in the order in which they were claimed.
    entries: OrderedDict[str, ClaimEntry] = attrs.field(factory=OrderedDict)
    # Log time of each release by claim id.  The release of an abandoned claim
    # may reach the log before the claim does.
    released: OrderedDict[str, float] = attrs.field(factory=OrderedDict)

    def fold(self, offset: int, time_s: float, data: str) -> None:
        """Apply the next record; skip one that cannot be decoded."""
        self.next_offset = offset + 1
        self.expire(time_s)
        node = parse_node(data)
        if node is not None:
            apply(node, self, offset, time_s)

    def expire(self, now_s: float) -> None:
        """Remove claims of keys that are too old, and old releases."""
        while self.entries:
            entry = next(iter(self.entries.values()))
            if entry.claim.valid_until_s >= now_s:
                break
            self.entries.popitem(last=False)
        oldest_s = now_s - RELEASE_KEPT_S
        while self.released:
            released_s = next(iter(self.released.values()))
            if released_s >= oldest_s:
                break
            self.released.popitem(last=False)


def parse_node(data: str) -> ClaimNode | None:
    """Return the node in a record, or None if it cannot be decoded."""
    try:
        record = wire.decode(data, ClaimRecord)
        kind = NODES.get(record.verb)
        if kind is None or record.v != defaults.RECORD_VERSION:
            return None
        return wire.from_builtins(record.body, kind)
    except wire.WireError:
        return None


def make_record(node: ClaimNode) -> str:
    """Return the stored form of a node."""
    record = ClaimRecord(verb=VERBS[type(node)], body=wire.to_builtins(node))
    return wire.encode(record).decode()


@singledispatch
def apply(node: object, table: ClaimTable, offset: int, time_s: float) -> None:
    """Apply one node to a table."""
    raise TypeError(f"cannot apply a node of type {type(node).__name__}")


@apply.register
def _(node: Claim, table: ClaimTable, offset: int, time_s: float) -> None:
    if node.claim_id in table.released or node.key in table.entries:
        return
    if time_s > node.valid_until_s:
        return
    table.entries[node.key] = ClaimEntry(
        claim=node, offset=offset, time_s=time_s
    )


@apply.register
def _(node: Release, table: ClaimTable, offset: int, time_s: float) -> None:
    table.released[node.claim_id] = time_s
    entry = table.entries.get(node.key)
    if entry and entry.is_open and entry.claim.claim_id == node.claim_id:
        del table.entries[node.key]


@apply.register
def _(node: Outcome, table: ClaimTable, offset: int, time_s: float) -> None:
    entry = table.entries.get(node.key)
    if entry is None or entry.claim.claim_id != node.claim_id:
        return
    if entry.outcome is None or not entry.outcome.known:
        entry.outcome = node


@apply.register
def _(node: Settle, table: ClaimTable, offset: int, time_s: float) -> None:
    entry = table.entries.get(node.key)
    if entry is None or entry.settled is not None:
        return
    if entry.outcome is None or not entry.outcome.known:
        entry.settled = node


def stream_of(key: str, streams: int = defaults.CLAIM_STREAMS) -> str:
    """Return the claim stream of a key."""
    number = xxh3_64_intdigest(key.encode()) % streams
    return f"{defaults.CLAIM_STREAM_PREFIX}{number}"


def request_digest(method: str, path: str, body: str) -> str:
    """Return a digest that distinguishes requests sent with one key."""
    joined = "\x1f".join((method, path, body))
    return hashlib.sha256(joined.encode()).hexdigest()
