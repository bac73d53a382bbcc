"""Pass requests with complete bodies to WSGI applications, within limits."""

from __future__ import annotations

from io import BytesIO
from typing import TYPE_CHECKING

from cheroot.wsgi import Gateway_10
from cheroot.wsgi import Server
from expression import Error
from expression import Result

from ..core.events import REQUEST_UNREAD
from ..core.events import emit
from ..core.failures import BadCall
from ..core.failures import Failure
from ..core.ids import Instant
from ..core.memory import MemoryBudget
from ..core.memory import reserving
from ..core.numbers import parse_count
from .answers import HTTP_STATUS
from .answers import JSON_CONTENT_TYPE
from .answers import describe_failure
from .answers import to_json
from .body import BodyFraming
from .body import BodySlots
from .body import BodyStream
from .body import read_body
from .metrics import REJECTED_BODIES
from .server import HeadFirstServer

if TYPE_CHECKING:
    from ..core.memory import MemoryReservation
    from .listener import HttpListener
    from .listener import WsgiApp

BODY_SECONDS = 5.0
"""Time from the arrival of a head until the body must be complete."""

SMALL_BODY_BYTES = 65_536
"""Limit of the small bodies, which must not crowd out the large ones."""

BODIES_IN_MEMORY = 4
"""Bodies of the maximum size that fit in the memory for bodies."""

MAX_LOGGED_CHARACTERS = 120
"""Characters of a path in a log line."""

THREADS_PER_BODY_SLOT = 2
"""Threads of a server for each that may wait for the rest of a body."""


class HeadFirstWsgiServer(HeadFirstServer, Server):
    """Serve a WSGI application to requests that are complete."""

    body_seconds = BODY_SECONDS

    def __init__(self, listener: HttpListener, app: WsgiApp) -> None:
        super().__init__((listener.host, listener.port), app)
        self.gateway = CompleteRequestGateway
        self.listener = listener
        self.body_memory = MemoryBudget(BODIES_IN_MEMORY * listener.max_body_bytes)
        self.body_slots = BodySlots(max(1, listener.threads // THREADS_PER_BODY_SLOT))

    def max_body_bytes(self, path: str) -> int:
        """Return the limit of the body of a request; 0 if it must have none."""
        listener = self.listener
        if path.startswith(listener.small_body_prefixes):
            return min(SMALL_BODY_BYTES, listener.max_body_bytes)
        return listener.max_body_bytes


class CompleteRequestGateway(Gateway_10):
    """Read the body of a request before its application runs.

    The HTTP library reads what an application leaves of a body without any limit, and
    waits anew for each piece of it.
    """

    def respond(self) -> None:
        """Run the application, or reject a request whose body can't be read."""
        with reserving(self.req.server.body_memory) as reservation:
            body = self._read_body(reservation)
            if body.is_error():
                self._reject(body.error)
                return
            self.env["wsgi.input"] = BytesIO(body.ok)
            self.env["CONTENT_LENGTH"] = str(len(body.ok))
            self.env.pop("HTTP_TRANSFER_ENCODING", None)
            super().respond()

    def _read_body(self, reservation: MemoryReservation) -> Result[bytes, Failure]:
        """Return the body, or why it can't be read: a failure of ``read_body``."""
        raw, server = self.req, self.req.server
        size = parse_count(self.env.get("CONTENT_LENGTH") or "0")
        if size is None:
            return Error(BadCall("Content-Length is not a valid number"))
        max_bytes = server.max_body_bytes(self.env["PATH_INFO"])
        framing = BodyFraming(size, raw.chunked_read, max_bytes)
        # The library would read what its own wrapper of the stream has not seen.
        raw.rfile = raw.conn.rfile
        deadline = Instant(raw.conn.head_at + server.body_seconds)
        with server.body_slots.waiting() as slot:
            stream = BodyStream(raw.rfile, raw.conn.socket, deadline, slot)
            return read_body(stream, framing, reservation)

    def _reject(self, failure: Failure) -> None:
        """Answer a request that was not read, and discard the rest of it."""
        raw = self.req
        REJECTED_BODIES.labels(failure.reason).inc()
        emit(
            REQUEST_UNREAD,
            request="",
            path=self.env["PATH_INFO"][:MAX_LOGGED_CHARACTERS],
            reason=failure.reason,
            detail=failure.detail,
        )
        body = to_json(describe_failure(failure))
        raw.status = f"{HTTP_STATUS[failure.category]} Refused".encode()
        raw.outheaders = [
            (b"Content-Type", JSON_CONTENT_TYPE.encode()),
            (b"Content-Length", str(len(body)).encode()),
        ]
        raw.close_connection = True
        raw.ensure_headers_sent()
        raw.conn.socket.sendall(body)
        raw.server.discard_input(raw.conn)
        raw.close_connection = False
