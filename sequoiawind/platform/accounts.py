"""Decoding of the client accounts in the operator's configuration."""

from collections.abc import Sequence

import msgspec

from sequoiawind import tokens
from sequoiawind.forward_state import ForwardAccount, LimitedAccount
from sequoiawind.platform import names


class TenantRecord(msgspec.Struct):
    """A client account as the operator writes it."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    isolated: bool = False
    # Limit over all routers; without a rate there is none.
    rate_per_s: float | None = None
    burst: float | None = None
    unit: str | None = None
    # Cost of a request that specifies no tokens.
    plain_tokens: float | None = None


def accounts(tenants: Sequence[TenantRecord]) -> dict[str, ForwardAccount]:
    """Return an account for each API key, under a unique name."""
    limits = {tenant.name: account_limit(tenant) for tenant in tenants}
    return {
        f"{tenant.name}/{number}": ForwardAccount(
            name=tenant.name,
            token_digest=tokens.token_digest(key),
            priority=tenant.priority,
            limit=limits[tenant.name],
        )
        for tenant in tenants
        for number, key in enumerate(tenant.api_keys)
    }


def account_limit(tenant: TenantRecord) -> LimitedAccount | None:
    """Return the rate limit of a client account; None if it has none."""
    rate_per_s = tenant.rate_per_s or 0.0
    if rate_per_s <= 0.0:
        return None
    burst = tenant.burst or 0.0
    return LimitedAccount(
        name=tenant.name,
        rate_per_s=rate_per_s,
        # A bucket that holds nothing would admit nothing.
        burst=burst if burst > 0.0 else rate_per_s,
        plain_cost=max(0.0, tenant.plain_tokens or 0.0),
        is_in_tokens=tenant.unit == names.TOKEN_UNIT,
    )


def limited_without_key(tenants: Sequence[TenantRecord]) -> frozenset[str]:
    """Return the names of limited client accounts that have no key."""
    return frozenset(
        tenant.name
        for tenant in tenants
        if not tenant.api_keys and account_limit(tenant) is not None
    )
