"""Provide the HTTP pages that all programs serve, and helpers for their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import cherrypy
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest

from ..core.numbers import parse_count
from .answers import HTTP_STATUS
from .answers import JSON_CONTENT_TYPE
from .answers import describe_failure
from .answers import to_json

if TYPE_CHECKING:
    from ..core.failures import Failure


def answer_json(value: Any, status: int = 200) -> bytes:
    """Return a JSON answer to the current request, and set its status and type."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = JSON_CONTENT_TYPE
    return to_json(value)


def answer_failure(failure: Failure) -> bytes:
    """Return a failure as the JSON answer to the current request."""
    return answer_json(describe_failure(failure), HTTP_STATUS[failure.category])


def read_body(max_bytes: int) -> bytes:
    """Return at most ``max_bytes + 1`` bytes of the current request's body.

    The extra byte shows the caller that the body exceeds the limit. Answer a malformed
    length with status 400.
    """
    length = parse_count(cherrypy.request.headers.get("Content-Length") or "0")
    if length is None:
        raise cherrypy.HTTPError(400)
    return cherrypy.request.rfile.read(min(length, max_bytes + 1))


class CommonPages:
    """Serve the health and metrics pages."""

    @cherrypy.expose
    def health(self) -> bytes:
        """Return an answer that shows that the process is running."""
        return answer_json({"health": "ok"})

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        cherrypy.response.headers["Content-Type"] = CONTENT_TYPE_LATEST
        return generate_latest()
