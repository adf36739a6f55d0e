"""Decoding of the operator's records to the product's configuration."""

from functools import lru_cache
from typing import Final

import attrs
import msgspec

from sequoiawind import wire
from sequoiawind.forward_state import (
    ForwardKind,
    ForwardPool,
    ForwardRoute,
    ForwardState,
    PoolShare,
)
from sequoiawind.headers import CallerLimits
from sequoiawind.platform import names
from sequoiawind.platform.accounts import (
    TenantRecord,
    accounts,
    limited_without_key,
)
from sequoiawind.platform.numbers import Count

S_PER_MS: Final = 0.001
# Routes whose decoded form is kept: a new version of a large configuration
# leaves most of its routes as they were.
MAX_KEPT_ROUTES: Final = 4_096


class Split(msgspec.Struct, frozen=True):
    """A service's share of a route's traffic."""

    service: str
    weight: float


class RouteRecord(msgspec.Struct, frozen=True):
    """A route as the operator writes it."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = 60_000
    target_latency_ms: float = 1_000
    priority: int = 5
    service: str = ""
    traffic_split: tuple[Split, ...] = ()
    max_attempts: int = 1
    # Whether requests need no API key.
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0


class ModelRecord(msgspec.Struct):
    """A model of a service."""

    name: str


class EngineRecord(msgspec.Struct):
    """Properties of a service's engines."""

    kv_capacity_tokens: int = 0
    # Whether the memory of a run can be copied to another engine.
    moves: bool = False
    models: list[ModelRecord] = []


class ServiceRecord(msgspec.Struct):
    """A service as the operator writes it."""

    name: str
    engine: EngineRecord | None = None
    # Address, if the service is a store of cached prompts; else empty.
    kv_store_addr: str = ""
    # Capacity of such a store, in tokens.
    kv_capacity_tokens: int = 0


class LimitsRecord(msgspec.Struct):
    """Limits on callers' requests and connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    # Time for which a caller's connection may stay idle.
    idle_timeout_ms: float = 15_000


class ConfigRecord(msgspec.Struct):
    """The whole configuration."""

    version: Count
    routes: list[RouteRecord] = []
    services: list[ServiceRecord] = []
    limits: LimitsRecord = msgspec.field(default_factory=LimitsRecord)
    # Without this field, requests need no keys.
    tenants: list[TenantRecord] | None = None


class WeightsRecord(msgspec.Struct):
    """A model's weights version as the operator writes it."""

    model: str
    version: Count


@attrs.frozen(kw_only=True)
class NamedWeights:
    """The weights version that an operator has named for a model."""

    model: str
    version: int


def decode_configuration(value: bytes) -> ForwardState:
    """Return the configuration that a record holds.

    Raises:
      WireError: The record is not a configuration.
    """
    record = wire.decode(value, ConfigRecord)
    tenants = record.tenants or []
    return ForwardState(
        revision=record.version,
        limits=CallerLimits(
            header_bytes=record.limits.max_header_bytes,
            body_bytes=record.limits.max_body_bytes,
            header_timeout_s=record.limits.header_timeout_ms * S_PER_MS,
            idle_timeout_s=record.limits.idle_timeout_ms * S_PER_MS,
        ),
        needs_keys=record.tenants is not None,
        accounts=accounts(tenants),
        isolated_accounts=frozenset(
            tenant.name for tenant in tenants if tenant.isolated
        ),
        limited_without_key=limited_without_key(tenants),
        kinds={item.name: kind(item) for item in record.routes},
        routes={item.name: route(item) for item in record.routes},
        pools={item.name: pool(item) for item in record.services},
    )


def decode_weights(value: bytes) -> NamedWeights:
    """Return the weights version that a record names.

    Raises:
      WireError: The record is not one of a weights version.
    """
    record = wire.decode(value, WeightsRecord)
    return NamedWeights(model=record.model, version=record.version)


@lru_cache(maxsize=MAX_KEPT_ROUTES)
def kind(record: RouteRecord) -> ForwardKind:
    """Return the rules for a route's requests: priority, repeats, times."""
    may_repeat = record.kind == names.IDEMPOTENT
    return ForwardKind(
        name=record.name,
        priority=record.priority,
        repeat="idempotent" if may_repeat else "never",
        is_stream=record.kind == names.STREAMING,
        is_resumable=record.kind == names.STREAMING and record.resumable,
        max_targets=record.max_attempts,
        timeout_s=record.timeout_ms * S_PER_MS,
        aim_s=record.target_latency_ms * S_PER_MS,
        pause_s=record.gap_aim_ms * S_PER_MS,
    )


@lru_cache(maxsize=MAX_KEPT_ROUTES)
def route(record: RouteRecord) -> ForwardRoute:
    """Return a route of the product's configuration."""
    shares = tuple(
        PoolShare(pool=item.service, weight=item.weight)
        for item in record.traffic_split
    )
    return ForwardRoute(
        name=record.name,
        host=record.host.lower(),
        path=record.path_prefix,
        kind=record.name,
        pool=record.service or (shares[0].pool if shares else ""),
        shares=shares,
        is_public=record.public,
    )


def pool(record: ServiceRecord) -> ForwardPool:
    """Return a pool of targets, or a store of cached prompts."""
    engine = record.engine or EngineRecord()
    return ForwardPool(
        name=record.name,
        service="engine" if record.engine else "plain",
        models=tuple(model.name for model in engine.models),
        memory_tokens=record.kv_capacity_tokens or engine.kv_capacity_tokens,
        has_moves=engine.moves,
        cache_store=record.kv_store_addr,
    )
