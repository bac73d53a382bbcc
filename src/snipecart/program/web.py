"""Serve HTTP with CherryPy on a given list of listeners."""

from __future__ import annotations

import json
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import Any

import cherrypy
from cheroot.server import HTTPConnection
from cherrypy import _cpserver
from cherrypy import _cpwsgi_server

from ..core.numbers import parse_count
from .request_head import StrictRequest

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .listener import HttpListener
    from .listener import WsgiApp

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Bytes of a body above which a request is refused unread.

No setting allows a larger body. The library reads what pages leave of a smaller one.
"""

ACCEPT_TIMEOUT = 0.01
"""Seconds that a new connection waits for room in a listener's queue."""

SHUTDOWN_TIMEOUT = 30
"""Seconds that requests in progress have to finish."""

IDLE_TIMEOUT = 30
"""Seconds that a connection may stay open between requests."""


class PageRequest(StrictRequest, _cpwsgi_server.CPWSGIHTTPRequest):
    """Read the head of a request as CherryPy does, and reject an ambiguous one."""

    def read_request_headers(self) -> bool:
        """Read the headers; return False if they were rejected.

        CherryPy reads bodies by this length before a page could reject it.
        """
        if not super().read_request_headers():
            return False
        length = self.inheaders.get(b"Content-Length", b"0").decode("latin-1")
        if parse_count(length) is None:
            self.simple_response("400 Bad Request", "Malformed Content-Length")
            return False
        return True


class PageConnection(HTTPConnection):
    """Represent a client's connection to a server of pages."""

    RequestHandlerClass = PageRequest


class PageServer(_cpwsgi_server.CPWSGIServer):
    """Serve pages to requests whose head is well-formed."""

    def __init__(self, adapter: _cpserver.Server) -> None:
        super().__init__(adapter)
        # CherryPy sets the request class on the connection class of all its servers.
        self.ConnectionClass = PageConnection


def make_cherrypy_server(listener: HttpListener) -> _cpserver.Server:
    """Return a CherryPy server for a listener."""
    server = _cpserver.Server()
    server.socket_host = listener.host
    server.socket_port = listener.port
    server.thread_pool = listener.threads
    server.socket_queue_size = 256
    server.accepted_queue_size = listener.threads * 4
    server.accepted_queue_timeout = ACCEPT_TIMEOUT
    server.socket_timeout = IDLE_TIMEOUT
    server.shutdown_timeout = SHUTDOWN_TIMEOUT
    server.max_request_body_size = MAX_BODY_BYTES
    server.instance = PageServer(server)
    return server


def _render_error(status: str, message: str, traceback: str, version: str) -> str:
    """Return an error of CherryPy's dispatcher as JSON."""
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps({"reason": "bad_call", "detail": f"{status}: {message}"})


@contextmanager
def serving_pages(
    listeners: list[HttpListener], apps: dict[str, WsgiApp], pages: Any = None
) -> Iterator[None]:
    """Serve WSGI applications by path and dispatched pages until the block ends."""
    cherrypy.config.update(
        {
            "environment": "production",
            "log.screen": False,
            "log.access_file": "",
            "log.error_file": "",
            "engine.autoreload.on": False,
            "checker.on": False,
            "request.process_request_body": False,
            "error_page.default": _render_error,
        }
    )
    cherrypy.server.unsubscribe()
    if pages is not None:
        cherrypy.tree.mount(pages, "/", {"/": {"tools.trailing_slash.on": False}})
    for path, app in apps.items():
        cherrypy.tree.graft(app, path)
    servers = [make_cherrypy_server(listener) for listener in listeners]
    for server in servers:
        server.subscribe()
    cherrypy.engine.start()
    try:
        yield
    finally:
        cherrypy.engine.exit()
