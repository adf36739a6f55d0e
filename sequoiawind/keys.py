"""Idempotency keys whose age can be read from them (UUID version 7).

RFC 9562 puts the Unix time in milliseconds into the first 48 bits.  A key
older than its claim is kept for must be refused, so a key without an age, or
with one in the future, is refused too.
"""

import uuid

from expression import Error, Ok, Result

from sequoiawind import defaults, messages
from sequoiawind.verdict import Failure, Reason, not_run


def key_time_s(key: uuid.UUID) -> float:
    """Return the time in a version 7 UUID, in seconds since the epoch."""
    return (key.int >> 80) / 1000.0


def make_key(time_s: float, random_bits: int) -> str:
    """Return a version 7 UUID of the given time and 74 random bits."""
    high = int(time_s * 1000.0) & ((1 << 48) - 1)
    rand_a = (random_bits >> 62) & 0xFFF
    rand_b = random_bits & ((1 << 62) - 1)
    value = high << 80 | 0x7 << 76 | rand_a << 64 | 0b10 << 62 | rand_b
    return str(uuid.UUID(int=value))


def check_key(
    text: str | None,
    now_s: float,
    max_age_s: float = defaults.KEY_MAX_AGE_S,
) -> Result[str, Failure]:
    """Check a caller's idempotency key.

    Args:
      text: The key as sent; None if there was none.
      now_s: The time in seconds since the epoch.
      max_age_s: Age from which a key is refused, in seconds.

    Returns:
      The key in canonical form, or why the request was not run.
    """
    if not text:
        return Error(not_run(Reason.KEY_MISSING, messages.KEY_MISSING))
    try:
        key = uuid.UUID(text)
    except ValueError:
        return Error(not_run(Reason.KEY_MALFORMED, messages.KEY_MALFORMED))
    if key.version != 7:
        return Error(not_run(Reason.KEY_MALFORMED, messages.KEY_MALFORMED))
    age_s = now_s - key_time_s(key)
    if age_s > max_age_s:
        return Error(not_run(Reason.KEY_TOO_OLD, messages.KEY_TOO_OLD))
    if age_s < -defaults.KEY_MAX_SKEW_S:
        return Error(not_run(Reason.KEY_IN_FUTURE, messages.KEY_IN_FUTURE))
    return Ok(str(key))
