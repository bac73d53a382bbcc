"""Translate the platform's routing document into a routing table."""

from __future__ import annotations

from typing import Any

from expression import Error
from expression import Result

from ..core.failures import Failure
from ..core.failures import Fault
from ..core.failures import TextInvalid
from ..text.parse import load_json
from ..text.routing import Routing
from ..text.routing import check_routing
from .names import IDEMPOTENT
from .tenants import TENANTS
from .tenants import hide_values
from .tenants import name_document_paths
from .tenants import translate_tenants
from .values import ValueMalformed
from .values import parse_duration_ms
from .values import parse_version
from .values import read_field
from .values import read_number


def decode_manifest(data: bytes) -> Result[Routing, Failure]:
    """Return the routing table in a JSON document, or TextInvalid with its faults."""
    document = load_json(data)
    if document.is_error():
        return Error(TextInvalid("invalid JSON", (hide_values(data, document.error),)))
    try:
        return check_routing(_translate_routing(document.ok)).map_error(
            name_document_paths
        )
    except ValueMalformed as exc:
        fault = Fault(getattr(exc, "path", "$"), "malformed", str(exc))
        return Error(TextInvalid("routing table is invalid", (fault,)))


def _translate_routing(document: Any) -> dict[str, Any]:
    fields = {
        "version": parse_version(read_field(document, "version", str)),
        "routes": [
            _translate_route(item) for item in read_field(document, "routes", list)
        ],
        "services": [
            _translate_service(item) for item in read_field(document, "backends", list)
        ],
    }
    # An empty list differs from none: it admits no key.
    if TENANTS in document:
        fields["organisations"] = translate_tenants(document[TENANTS])
    if "limits" in document:
        fields["limits"] = _translate_limits(read_field(document, "limits", dict))
    return fields


def _translate_route(item: Any) -> dict[str, Any]:
    route_type = read_field(item, "route_type", str)
    if route_type not in IDEMPOTENT:
        raise ValueMalformed(f"route_type: {route_type!r}")
    return {
        "name": read_field(item, "name", str),
        "host": read_field(item, "hostname", str),
        "prefix": read_field(item, "path_prefix", str),
        "targets": _translate_targets(item),
        "idempotent": IDEMPOTENT[route_type],
        "timeout_ms": parse_duration_ms(item.get("timeout")),
        "target_latency_ms": parse_duration_ms(item.get("target_latency")),
        "rank": read_field(item, "priority", int),
        "attempts": read_field(item, "max_attempts", int),
        "affinity": bool(item.get("session_affinity", False)),
        "regions": item.get("allowed_regions") or [],
        "allow_anonymous": bool(item.get("allow_anonymous", False)),
    }


def _translate_targets(item: dict[str, Any]) -> list[dict[str, Any]]:
    if item.get("weighted_backends"):
        return [
            {
                "service": read_field(part, "backend", str),
                "weight": read_number(part, "weight"),
            }
            for part in read_field(item, "weighted_backends", list)
        ]
    return [{"service": read_field(item, "backend", str), "weight": 1.0}]


def _translate_service(item: Any) -> dict[str, Any]:
    return {
        "name": read_field(item, "name", str),
        "health_path": item.get("health_check_path", ""),
        "max_connections": item.get("max_connections", 0),
        "cold_ms": parse_duration_ms(item.get("cold_start", "0ms")),
        "cold_per_s": item.get("cold_per_s", 0.0),
    }


def _translate_limits(item: dict[str, Any]) -> dict[str, Any]:
    return {
        "header_bytes": read_field(item, "max_header_bytes", int),
        "body_bytes": read_field(item, "max_body_bytes", int),
        "header_timeout_ms": parse_duration_ms(item.get("header_timeout")),
        "idle_timeout_ms": parse_duration_ms(item.get("idle_timeout")),
    }
