"""Serve HTTP with cheroot, CherryPy's server, without CherryPy's dispatcher."""

from __future__ import annotations

import threading
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import Any

from ..core.events import SERVER_ERROR
from ..core.events import TASK_FAILED
from ..core.events import emit
from ..core.task import ANY_TASK_FAILED
from .server import HeadFirstServer
from .threads import ElasticThreadPool
from .wsgi import HeadFirstWsgiServer

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .listener import HttpListener
    from .listener import WsgiApp

ACCEPT_BACKLOG = 512
"""Maximum number of connections that wait to be accepted."""

KEEP_ALIVE_LIMIT = 1500
"""Maximum number of connections that stay open between requests."""

IDLE_TIMEOUT = 20
"""Seconds that a connection may stay open between requests."""

EXPIRATION_INTERVAL = 1.0
"""Seconds between two checks for idle connections."""

STOP_TIMEOUT = 1.0
"""Seconds that requests in progress have to finish when a server stops."""


def make_http_server(listener: HttpListener, gateway: type[Any]) -> HeadFirstServer:
    """Return a server that passes each request to a subclass of cheroot's gateway."""
    server = HeadFirstServer((listener.host, listener.port), gateway)
    _configure(server, listener)
    return server


def make_wsgi_server(listener: HttpListener, app: WsgiApp) -> HeadFirstWsgiServer:
    """Return a server of a WSGI application."""
    server = HeadFirstWsgiServer(listener, app)
    _configure(server, listener)
    return server


def _configure(server: HeadFirstServer, listener: HttpListener) -> None:
    server.requests = ElasticThreadPool(server, listener.threads)
    server.request_queue_size = ACCEPT_BACKLOG
    server.timeout = IDLE_TIMEOUT
    server.expiration_interval = EXPIRATION_INTERVAL
    server.shutdown_timeout = STOP_TIMEOUT
    server.keep_alive_conn_limit = KEEP_ALIVE_LIMIT
    server.server_name = "snipecart"
    server.error_log = _log_error


def _log_error(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    emit(SERVER_ERROR, detail=msg)


def _serve(server: HeadFirstServer) -> None:
    """Serve until the server is stopped; let the program stop if it ends by itself."""
    error = "ended"
    try:
        server.serve()
    except BaseException as exc:
        error = repr(exc)
    if not server.stop_requested:
        emit(TASK_FAILED, task="http", error=error)
        ANY_TASK_FAILED.set()


@contextmanager
def running_server(server: HeadFirstServer) -> Iterator[HeadFirstServer]:
    """Run a server in its own thread until the block ends.

    What it has accepted by then is still answered within STOP_TIMEOUT.
    """
    server.prepare()
    thread = threading.Thread(target=_serve, args=(server,), name="http", daemon=True)
    thread.start()
    try:
        yield server
    finally:
        server.stop_requested = True
        server.stop_accepting()
        server.stop()
        thread.join(STOP_TIMEOUT)
