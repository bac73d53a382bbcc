"""Answer the pages that every program has."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import Any

import cherrypy
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest

from ..core.failures import Category
from ..core.failures import Failure

HTTP_STATUS: dict[Category, int] = {
    Category.INVALID: 400,
    Category.NOT_FOUND: 404,
    Category.CONFLICT: 409,
    Category.TOO_LARGE: 413,
    Category.MISDIRECTED: 421,
    Category.OVERLOAD: 429,
    Category.UPSTREAM: 502,
    Category.UNAVAILABLE: 503,
    Category.TIMEOUT: 504,
}
"""The HTTP status of each group of failures."""

JSON_TYPE = "application/json"


def to_json(value: Any) -> bytes:
    """Return a value as JSON."""
    return json.dumps(value, default=_plain).encode()


def _plain(value: Any) -> Any:
    if isinstance(value, bytes):
        return value.decode(errors="replace")
    return asdict(value)


def failure_fields(failure: Failure) -> dict[str, Any]:
    """Return a failure's reason and other fields."""
    return {"reason": failure.reason, **asdict(failure)}


def answer_json(value: Any, status: int = 200) -> bytes:
    """Answer the current request with JSON."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    return to_json(value)


def answer_failure(failure: Failure) -> bytes:
    """Answer the current request with a typed failure."""
    return answer_json(failure_fields(failure), HTTP_STATUS[failure.category])


def read_body(most: int) -> bytes:
    """Read the current request's body, one byte over the limit at most."""
    length = int(cherrypy.request.headers.get("Content-Length") or 0)
    return cherrypy.request.rfile.read(min(length, most + 1))


class CommonPages:
    """Answer health and metrics."""

    @cherrypy.expose
    def health(self) -> bytes:
        """Say that the process runs."""
        return answer_json({"health": "ok"})

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Give the metrics in Prometheus' text form."""
        cherrypy.response.headers["Content-Type"] = CONTENT_TYPE_LATEST
        return generate_latest()
