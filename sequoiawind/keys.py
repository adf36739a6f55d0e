"""Idempotency keys that contain their time of creation (UUID version 7).

RFC 9562 puts the Unix time in milliseconds into the first 48 bits.  A key must
be refused once it is older than the time for which its claim is kept.  So a
key without a time, or with one in the future, is refused too.
"""

import uuid

import attrs
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


@attrs.frozen(kw_only=True)
class KeyLimits:
    """The range of key ages that is accepted.

    A key can be claimed from `max_skew_s` before the time in it until
    `max_age_s` after it; the log must keep the first claim until then.
    """

    max_age_s: float = defaults.KEY_MAX_AGE_S
    max_skew_s: float = defaults.KEY_MAX_SKEW_S


def limits_for(log_retention_s: float) -> KeyLimits:
    """Return limits that fit within the log's retention, in seconds."""
    return KeyLimits(
        max_age_s=min(
            defaults.KEY_MAX_AGE_S,
            log_retention_s * defaults.KEY_AGE_SHARE_OF_RETENTION,
        ),
        max_skew_s=min(
            defaults.KEY_MAX_SKEW_S,
            log_retention_s * defaults.KEY_SKEW_SHARE_OF_RETENTION,
        ),
    )


@attrs.frozen(kw_only=True)
class CheckedKey:
    """An accepted key."""

    # Canonical form.
    text: str
    # Log time after which a claim of the key is void, in seconds since the
    # epoch.
    valid_until_s: float


def check_key(
    text: str | None, now_s: float, limits: KeyLimits
) -> Result[CheckedKey, Failure]:
    """Check a caller's idempotency key.

    Args:
      text: The key as sent; None if there was none.
      now_s: The time in seconds since the epoch.
      limits: The range of ages that is accepted.

    Returns:
      The key, or the refusal of the request.
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
    if age_s > limits.max_age_s:
        return Error(not_run(Reason.KEY_TOO_OLD, messages.KEY_TOO_OLD))
    if age_s < -limits.max_skew_s:
        return Error(not_run(Reason.KEY_IN_FUTURE, messages.KEY_IN_FUTURE))
    return Ok(
        CheckedKey(
            text=str(key), valid_until_s=key_time_s(key) + limits.max_age_s
        )
    )
