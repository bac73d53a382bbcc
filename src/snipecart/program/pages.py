"""Answer the pages that every program has."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import cherrypy
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest

from .answers import HTTP_STATUS
from .answers import JSON_CONTENT_TYPE
from .answers import describe_failure
from .answers import to_json

if TYPE_CHECKING:
    from ..core.failures import Failure


def answer_json(value: Any, status: int = 200) -> bytes:
    """Answer the current request with JSON."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = JSON_CONTENT_TYPE
    return to_json(value)


def answer_failure(failure: Failure) -> bytes:
    """Answer the current request with a typed failure."""
    return answer_json(describe_failure(failure), HTTP_STATUS[failure.category])


def read_body(max_bytes: int) -> bytes:
    """Read the current request's body, one byte over the limit at most."""
    length = int(cherrypy.request.headers.get("Content-Length") or 0)
    return cherrypy.request.rfile.read(min(length, max_bytes + 1))


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
