"""Which client accounts find each other's cached prompt parts.

A target finds a part only under the salt under which it was made, and does not
know whose request made it.  So the salt names a scope.  That of the accounts
that share parts names all isolated accounts: while an account is isolated, the
others share nothing under a scope in which it may have made parts before.  A
scope follows from the configuration alone, so routers agree on it without
exchanging messages, also after a restart and when accounts change back.
"""

from collections.abc import Collection
from typing import Final

import msgspec
from xxhash import xxh3_128_hexdigest

from sequoiawind.tokens import token_digest

# Scope of all accounts while none is isolated.
SHARED: Final = "shared"
# Scope of requests without a key while the configuration may be out of date.
KEYLESS: Final = "keyless"


def shared_scope(isolated: Collection[str]) -> str:
    """Return the scope of the accounts that share parts.

    Args:
      isolated: Names of the isolated accounts.
    """
    if not isolated:
        return SHARED
    names = msgspec.json.encode(sorted(isolated))
    return f"{SHARED}/{xxh3_128_hexdigest(names)}"


def account_scope(account: str) -> str:
    """Return the scope of an account that shares no parts."""
    return f"a:{account}"


def key_scope(key: str) -> str:
    """Return the scope of requests with an API key that cannot be verified."""
    return f"k:{token_digest(key)}" if key else KEYLESS
