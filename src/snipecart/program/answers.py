"""Convert results and failures to JSON and HTTP statuses, for any HTTP server."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import Any

from ..core.failures import Category
from ..core.failures import Failure

HTTP_STATUS: dict[Category, int] = {
    Category.INVALID: 400,
    Category.UNAUTHENTICATED: 401,
    Category.NOT_FOUND: 404,
    Category.CONFLICT: 409,
    Category.TOO_LARGE: 413,
    Category.MISDIRECTED: 421,
    Category.OVERLOAD: 429,
    Category.UPSTREAM: 502,
    Category.UNAVAILABLE: 503,
    Category.TIMEOUT: 504,
}
"""HTTP status of each category of failures."""

JSON_CONTENT_TYPE = "application/json"


def to_json(value: Any) -> bytes:
    """Return a value as JSON; data classes become objects and bytes become strings."""
    return json.dumps(value, default=_plain).encode()


def _plain(value: Any) -> Any:
    if isinstance(value, bytes):
        return value.decode(errors="replace")
    return asdict(value)


def describe_failure(failure: Failure) -> dict[str, Any]:
    """Return the reason and the fields of a failure."""
    return {"reason": failure.reason, **asdict(failure)}
