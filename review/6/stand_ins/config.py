"""Configurations of a small deployment."""

from collections.abc import Mapping, Sequence
from typing import Any, Final

from stand_ins.engine import MODEL

HOST: Final = "desk.example"


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 4_000,
        "target_latency_ms": 400,
        "priority": 1,
        "max_attempts": 1 if kind == "non_idempotent" else 2,
        **more,
    }


def configuration(
    version: int, keys: Mapping[str, Sequence[str]]
) -> dict[str, Any]:
    """Return a configuration.

    Args:
      version: Its version.
      keys: The keys of each tenant.
    """
    engine = {
        "kv_capacity_tokens": 95_939,
        "models": [{"name": MODEL}],
        "moves": False,
    }
    return {
        "version": version,
        "routes": [
            route("book", "non_idempotent", "dispatch-app"),
            route("read", "idempotent", "dispatch-app"),
            route(
                "draft",
                "streaming",
                "brief-llm",
                sticky=True,
                resumable=True,
                gap_aim_ms=400,
                timeout_ms=12_000,
                max_attempts=2,
            ),
        ],
        "services": [
            {"name": "dispatch-app"},
            {"name": "brief-llm", "engine": engine},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {"name": name, "api_keys": list(found)}
            for name, found in keys.items()
        ],
    }
