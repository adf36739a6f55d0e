"""Callers' and operators' bearer tokens, stored as digests."""

import hashlib
import hmac
from collections.abc import Mapping
from typing import TypeVar

from sequoiawind.state import Account, Operator

Holder = TypeVar("Holder", Account, Operator)


def token_digest(token: str) -> str:
    """Return the digest under which a bearer token is stored."""
    return hashlib.sha256(token.encode()).hexdigest()


def holder_of(token: str, by_digest: Mapping[str, Holder]) -> Holder | None:
    """Return the holder of a bearer token; None if the token is unknown.

    The empty token has no holder.  The look-up is by digest; the comparison is
    in constant time.
    """
    if not token:
        return None
    digest = token_digest(token)
    holder = by_digest.get(digest)
    if holder is None:
        return None
    if not hmac.compare_digest(holder.token_digest, digest):
        return None
    return holder
