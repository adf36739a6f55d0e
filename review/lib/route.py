"""The configuration that cases share: one route to a plain service."""

from typing import Any

HOST, PATH = "slots.example", "/slot-book/"
KEY = "key-of-a-tenant-0001"
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def config(kind: str, timeout_ms: int) -> dict[str, Any]:
    """Return a configuration with one route of a kind."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "slot-book",
                "host": HOST,
                "path_prefix": PATH,
                "kind": kind,
                "timeout_ms": timeout_ms,
                "target_latency_ms": 400,
                "priority": 2,
                "service": "slot-desk",
                "max_attempts": 2 if kind == "idempotent" else 1,
                "public": False,
            }
        ],
        "services": [
            {"name": "slot-desk", "health_path": "/healthz", "max_conns": 190}
        ],
        "limits": LIMITS,
        "tenants": [{"name": "tenant-a", "api_keys": [KEY]}],
    }


def headers(attempt_id: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "Host": HOST,
        "Sequoiawind-Attempt-Id": attempt_id,
        "Sequoiawind-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
    }
