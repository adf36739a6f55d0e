"""The table of figures that a router states in its requests for the feed.

Values are kept as integers of thousandths, so that relays can add and subtract
them without rounding errors.
"""

import base64
import binascii
import heapq
from collections.abc import Iterable, Mapping
from itertools import zip_longest
from typing import Annotated, Final

import msgspec
from msgspec import Meta

# Keys that a statement may have.
MAX_STATED_KEYS: Final = 256
# Bytes of a statement before base64, which adds a third.  Agents refuse heads
# of more than 16 KiB, also those of earlier releases.
MAX_STATED_BYTES: Final = 9_000
MAX_STATED_CHARS: Final = -(-MAX_STATED_BYTES * 4 // 3)
MAX_KEY_BYTES: Final = 200
# Bytes that MessagePack adds to a key for its length and for its value, and to
# a statement for its stamp and the lengths of its parts, at most.
ENTRY_BYTES: Final = 11
HEAD_BYTES: Final = 13
# Units of a value: three digits after the point are kept.
UNITS: Final = 1_000
MAX_VALUE: Final = 1e12
MAX_UNITS: Final = 10**15


class Statement(msgspec.Struct, array_like=True, frozen=True):
    """What a router states, with the number of its request."""

    # Rises with each request of a router, and from one process to the next.
    stamp: Annotated[int, Meta(ge=0)] = 0
    # Values by key, in thousandths.
    units: Annotated[
        dict[
            Annotated[str, Meta(max_length=MAX_KEY_BYTES)],
            Annotated[int, Meta(gt=0, le=MAX_UNITS)],
        ],
        Meta(max_length=MAX_STATED_KEYS),
    ] = {}


EMPTY: Final = Statement()
ENCODER: Final = msgspec.msgpack.Encoder()
DECODER: Final = msgspec.msgpack.Decoder(Statement)


def encode(statement: Statement) -> str:
    """Return a statement as an argument of a request; empty if it is empty."""
    if not statement.units:
        return ""
    data = base64.urlsafe_b64encode(ENCODER.encode(statement))
    return data.rstrip(b"=").decode()


def decode(text: str) -> Statement | None:
    """Return the statement in an argument; None if it cannot be read."""
    if not text:
        return EMPTY
    if len(text) > MAX_STATED_CHARS:
        return None
    try:
        data = base64.b64decode(
            text + "=" * (-len(text) % 4), altchars=b"-_", validate=True
        )
        return DECODER.decode(data)
    except (
        binascii.Error,
        ValueError,
        msgspec.MsgspecError,
        RecursionError,
    ):
        return None


def limited(values: Mapping[str, float]) -> dict[str, int]:
    """Return the entries of a table that may be stated, in thousandths.

    Values that round to nothing, are negative or no numbers are left out.
    """
    # A comparison with NaN is false, so it is left out too.
    valid = {
        key: value
        for key, value in values.items()
        if 0.5 / UNITS < value < MAX_VALUE
    }
    found: dict[str, int] = {}
    left_bytes = MAX_STATED_BYTES - HEAD_BYTES
    for key in ranked(valid, MAX_STATED_KEYS):
        key_bytes = len(key.encode())
        left_bytes -= key_bytes + ENTRY_BYTES
        if left_bytes < 0:
            break
        if key_bytes <= MAX_KEY_BYTES:
            found[key] = round(valid[key] * UNITS)
    return found


def ranked(values: Mapping[str, float], limit: int) -> list[str]:
    """Return the keys of the largest values, by turns from each component.

    Values of different components have different units.  By value alone,
    accounts with thousands of tokens a second would leave no place for seconds
    of targets.
    """
    by_prefix: dict[str, list[str]] = {}
    for key in values:
        by_prefix.setdefault(key.partition(":")[0], []).append(key)
    groups = [
        largest(keys, values, limit) for _, keys in sorted(by_prefix.items())
    ]
    keys = [key for tier in zip_longest(*groups) for key in tier if key]
    return keys[:limit]


def largest(
    keys: Iterable[str], values: Mapping[str, float], limit: int
) -> list[str]:
    """Return the keys of the largest values, the largest first."""
    return heapq.nsmallest(limit, keys, key=lambda key: (-values[key], key))


def as_values(units: Mapping[str, int]) -> dict[str, float]:
    """Return the values of a table in thousandths."""
    return {key: value / UNITS for key, value in units.items()}


def as_units(values: Mapping[str, float]) -> dict[str, int]:
    """Return the values of a relay's table in thousandths."""
    return {
        key: round(value * UNITS)
        for key, value in values.items()
        if 0.5 / UNITS < value < MAX_VALUE
    }
