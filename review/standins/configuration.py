"""The configuration that the operator writes (PROTOCOL.md, "The operator's API")."""

from __future__ import annotations

from standins.client import HOST, KEY


def route(
    name: str,
    prefix: str,
    kind: str,
    service: str,
    timeout_ms: int,
    target_ms: int,
    **fields: object,
) -> dict:
    """Return a route."""
    return {
        "name": name,
        "hostname": HOST,
        "prefix": prefix,
        "type": kind,
        "service": service,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": 1,
        "max_attempts": 1,
        "public": False,
    } | fields


def service(name: str, **fields: object) -> dict:
    """Return a service."""
    return {"name": name, "max_conns": 110, "health_path": "/healthz"} | fields


def configuration(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a whole configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": [{"name": "tenant-1", "api_keys": [KEY]}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 30000,
        },
    }
