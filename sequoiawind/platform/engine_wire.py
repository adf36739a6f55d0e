"""Bodies and headers of requests to targets and of their answers."""

from collections.abc import Mapping
from typing import Final

import msgspec

from sequoiawind import messages
from sequoiawind.forward_ports import CacheChanges, PartChange, SendOrder
from sequoiawind.headers import Headers
from sequoiawind.platform import names
from sequoiawind.platform.numbers import Count
from sequoiawind.platform.targets import ModelVersion
from sequoiawind.rollout import TargetReport
from sequoiawind.verdict import Failure, Reason, not_run

# Status of a target that is not the instance which the request expects.
WRONG_INSTANCE: Final = 421
# Status by which a target turns a request away; it may state for how long.
TURNED_AWAY: Final = 503


class ReportRecord(msgspec.Struct):
    """A target's report of its state."""

    models: list[ModelVersion] = []
    # Whether an order is being carried out.
    busy: bool = False
    # Number of orders accepted since the start.
    seq: Count = 0
    waiting: Count = 0
    running: Count = 0
    # Tokens in memory that cannot be evicted.
    kv_used: Count = 0
    # Id, tokens in memory, events produced and priority of each run that has
    # produced events; None if the target does not report them.
    runs: list[tuple[str, Count, Count, Count]] | None = None
    state: str = names.READY
    born: Count = 0


class EventsRecord(msgspec.Struct):
    """The changes of a cache since a change number."""

    # Identifies one run of the cache; changes when it restarts.
    boot_epoch: Count
    # The `since` of the next request.
    next_token: Count
    lost: bool = False
    # Change number, + or -, salt, id of the part, tokens of it that the cache
    # holds now, and model.
    events: list[tuple[Count, str, str, str, Count, str]] = []


class OrderRecord(msgspec.Struct):
    """An order to load weights."""

    model: str
    version: int
    holder: str
    # Fencing number.
    fence: int
    # Number of orders that the target must have accepted before this one.
    precondition: int
    op: str = "version"
    # "wait": the target finishes its runs before it loads.
    transfer_mode: str = "wait"


class MoveRecord(msgspec.Struct):
    """An order to move a run."""

    # The caller's id of the attempt.
    id: str
    # Address of the target that receives the memory.
    to: str
    # Whether to stop the run first.
    last: bool = True


class MovedRecord(msgspec.Struct):
    """The handle of the stored memory of a run."""

    handle: str | int


def refusal(status: int, found: Mapping[bytes, bytes]) -> Failure | None:
    """Return a failure if an answer states that its request was not run."""
    if status == WRONG_INSTANCE:
        return not_run(Reason.TARGET_REPLACED, messages.TARGET_REFUSED)
    if names.NOT_EXECUTED in found:
        return not_run(Reason.TARGET_BUSY, messages.TARGET_REFUSED)
    return None


def pause_s(status: int, found: Mapping[bytes, bytes]) -> float:
    """Return for how long a target wants nothing, in seconds; 0 if unstated."""
    text = found.get(names.RETRY_AFTER, b"").strip()
    if status != TURNED_AWAY or not text:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return seconds if 0.0 < seconds < float("inf") else 0.0


def is_leaving(found: Mapping[bytes, bytes]) -> bool:
    """Whether an answer states that its target is leaving."""
    return found.get(names.SERVER_LEAVING, b"").strip() == b"1"


def limit_per_s(found: Mapping[bytes, bytes]) -> float | None:
    """Return the requests a second that a target takes; None if unlimited."""
    text = found.get(names.SERVER_LIMIT, b"").strip()
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if 0.0 <= limit < float("inf") else None


def request_headers(order: SendOrder) -> Headers:
    """Return the headers of a request to a target."""
    return [*caller_headers(order), *system_headers(order)]


def caller_headers(order: SendOrder) -> Headers:
    """Return the caller's headers.

    If a broken stream is resumed, the position in `Last-Event-ID` is left out.
    """
    if order.after_event is None:
        return order.request.headers
    return [
        item for item in order.request.headers if item[0] != names.LAST_EVENT_ID
    ]


def system_headers(order: SendOrder) -> Headers:
    """Return the headers that the system sets."""
    headers: Headers = [
        (names.DEADLINE_MS, b"%d" % max(1, int(order.deadline_s * 1000))),
        (names.EXPECT_INSTANCE, order.target.name.encode()),
    ]
    if order.account:
        headers.append((names.TENANT, order.account.encode()))
    if order.version is not None:
        headers += [
            (names.EXPECT_VERSION, b"%d" % order.version),
            (names.CACHE_SALT, order.salt.encode()),
            (names.URGENCY, b"%d" % order.urgency),
        ]
    if order.source:
        headers.append((names.KV_SOURCE, order.source.encode()))
    if order.cache_store:
        headers.append((names.KV_SINK, order.cache_store.encode()))
    if order.moved_from:
        headers.append((names.KV_FROM, order.moved_from.encode()))
    if order.after_event is not None:
        headers.append((names.LAST_EVENT_ID, b"%d" % order.after_event))
    return headers


def report(
    record: ReportRecord, found: Mapping[bytes, bytes] | None = None
) -> TargetReport:
    """Convert a target's report to the product's type.

    Args:
      record: The report.
      found: The headers of the answer.
    """
    found = found or {}
    return TargetReport(
        versions={item.name: item.version for item in record.models},
        is_busy=record.busy,
        orders=record.seq,
        waiting=record.waiting,
        running=record.running,
        runs=None
        if record.runs is None
        else tuple(events for _, _, events, _ in record.runs),
        used_tokens=record.kv_used,
        is_draining=is_leaving(found) or record.state == names.DRAINING,
        born_ms=record.born,
        limit_per_s=limit_per_s(found),
    )


def cache_changes(record: EventsRecord) -> CacheChanges:
    """Convert the changes of a cache to the product's type."""
    return CacheChanges(
        epoch=record.boot_epoch,
        next_number=record.next_token,
        has_gap=record.lost,
        changes=[
            PartChange(salt=salt, part=part, tokens=tokens)
            for _, _, salt, part, tokens, _ in record.events
        ],
    )
