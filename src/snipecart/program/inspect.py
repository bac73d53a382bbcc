"""Serve a process's metrics and inspection pages to operators, on one address."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qsl

from expression import Result
from prometheus_client import make_wsgi_app

from ..core.failures import Failure
from .answers import HTTP_STATUS
from .answers import JSON_CONTENT_TYPE
from .answers import describe_failure
from .answers import to_json

if TYPE_CHECKING:
    from .listener import WsgiApp

Query = dict[str, str]

Page = Callable[[Query], Result[Any, Failure]]


def make_inspection_app(pages: dict[str, Page]) -> WsgiApp:
    """Return a WSGI application of JSON pages by path; other paths return metrics."""
    metrics = make_wsgi_app()

    def respond(environ: dict[str, Any], start_response: Any) -> list[bytes]:
        page = pages.get(environ.get("PATH_INFO", ""))
        if page is None:
            return metrics(environ, start_response)
        result = page(dict(parse_qsl(environ.get("QUERY_STRING", ""))))
        status, value = 200, result.ok if result.is_ok() else None
        if result.is_error():
            status = HTTP_STATUS[result.error.category]
            value = describe_failure(result.error)
        body = to_json(value)
        headers = [
            ("Content-Type", JSON_CONTENT_TYPE),
            ("Content-Length", str(len(body))),
        ]
        start_response(f"{status} Status", headers)
        return [body]

    return respond
