"""Read requests off HTTP connections, and write their answers."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from cheroot.errors import MaxSizeExceeded
from cheroot.server import Gateway
from cheroot.server import HTTPServer
from expression import Error
from expression import Ok
from expression import Result

from ..core.events import CLIENT_LEFT
from ..core.events import REQUEST_ENDED
from ..core.events import REQUEST_MALFORMED
from ..core.events import emit
from ..core.failures import BadCall
from ..core.failures import BodyTooLarge
from ..core.failures import Category
from ..core.failures import ClientGone
from ..core.failures import Stopping
from ..core.ids import ObjectKey
from ..core.ids import RequestId
from ..core.states import Intake
from ..core.task import monotonic
from ..program.answers import HTTP_STATUS
from ..program.answers import JSON_TYPE
from ..program.answers import failure_fields
from ..program.answers import to_json
from ..program.http import make_http_server
from ..program.http import running_server
from .headers import end_to_end
from .metrics import REFUSALS
from .metrics import REQUEST_SECONDS
from .metrics import REQUESTS
from .request import AnsweredRequest
from .request import Attempt
from .request import Cancellation
from .request import FailedRequest
from .request import HttpRequest

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..core.pipe import Pipe
    from ..program.listener import HttpListener
    from ..text.routing import ClientLimits
    from .placing.task import PlacingTask
    from .request import HeaderNames
    from .watch import WatchTask

MAX_WAIT_DIGITS = 9

LEAVE_AFTER = 0.1
"""Seconds after which a client that met a leaving gateway may try another."""

NO_LENGTH_STATUSES = frozenset({204, 304})


@dataclass
class GatewaySource:
    """Hold what connections of the gateway's listener need."""

    pipeline: Pipe
    names: HeaderNames
    watch: WatchTask
    placing: PlacingTask
    intake: Intake = Intake.OPEN


class RequestGateway(Gateway):
    """Turn one HTTP request into a message, and its end into an answer."""

    def respond(self) -> None:
        """Answer one request."""
        source: GatewaySource = self.req.server.source
        _apply_limits(self.req.server, source)
        read = self._read(source)
        if read.is_error():
            self._refuse(source, read.error)
            return
        req = read.ok
        if source.intake is Intake.CLOSED:
            self._fail(source, req, FailedRequest(Stopping(), False, LEAVE_AFTER))
            return
        descriptor = self.req.conn.socket.fileno()
        with source.watch.watching(descriptor, req.cancellation):
            ended = source.pipeline.run(req)
        if ended.is_ok():
            self._answer(source, req, ended.ok)
        else:
            self._fail(source, req, ended.error)

    def _read(self, source: GatewaySource) -> Result[HttpRequest, BadCall]:
        began = monotonic()
        raw = self.req
        try:
            target = raw.uri.decode("ascii")
            headers = tuple(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in raw.inheaders.items()
            )
        except UnicodeDecodeError:
            return Error(BadCall("target is not ASCII"))
        fields = {name.lower(): value for name, value in headers}
        wait = fields.get(source.names.wait_ms.lower(), "0")
        if not (wait.isascii() and wait.isdecimal() and len(wait) <= MAX_WAIT_DIGITS):
            return Error(BadCall(f"{source.names.wait_ms} is no number"))
        body = self._read_body()
        if body.is_error():
            return body
        dropped = {source.names.wait_ms.lower(), source.names.expected.lower()}
        kept = (pair for pair in headers if pair[0].lower() not in dropped)
        return Ok(
            HttpRequest(
                raw.method.decode("latin-1"),
                target,
                fields.get("host", ""),
                end_to_end(kept),
                body.ok,
                RequestId(fields.get(source.names.request.lower(), "")),
                ObjectKey(fields.get(source.names.object.lower(), "")),
                int(wait),
                began,
                Cancellation(),
            )
        )

    def _read_body(self) -> Result[bytes, BadCall]:
        raw = self.req
        length = int(raw.inheaders.get(b"Content-Length", 0) or 0)
        if not raw.chunked_read and not length:
            return Ok(b"")
        try:
            body = raw.rfile.read()
            if raw.chunked_read:
                for _ in raw.rfile.read_trailer_lines():
                    pass
        except MaxSizeExceeded:
            return Error(BodyTooLarge())
        except ValueError as exc:
            return Error(BadCall(str(exc)))
        if not raw.chunked_read and len(body) < length:
            return Error(BadCall("body cut short"))
        return Ok(body)

    def _answer(
        self, source: GatewaySource, req: HttpRequest, done: AnsweredRequest
    ) -> None:
        answer = done.answer
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in answer.headers
        ]
        status = f"{answer.status} {answer.reason}".encode("latin-1")
        self._write(source, status, headers, answer.body, answer.status)
        route = done.routed.route
        seconds = monotonic() - req.began
        REQUESTS.labels(route.name, "answered").inc()
        REQUEST_SECONDS.labels(route.rank).observe(seconds)
        emit(
            REQUEST_ENDED,
            request=req.request,
            route=route.name,
            version=done.routed.version,
            object=req.object,
            status=answer.status,
            ms=int(seconds * 1000),
            sends=_describe(done.attempts),
        )

    def _fail(
        self, source: GatewaySource, req: HttpRequest, failed: FailedRequest
    ) -> None:
        failure, routed = failed.failure, failed.routed
        name = routed.route.name if routed is not None else ""
        REFUSALS.labels(failure.reason).inc()
        REQUESTS.labels(name, failure.reason).inc()
        emit(
            CLIENT_LEFT if isinstance(failure, ClientGone) else REQUEST_ENDED,
            request=req.request,
            route=name,
            version=routed.version if routed is not None else 0,
            object=req.object,
            reason=failure.reason,
            detail=failure.detail,
            may_have_run=failed.may_have_run,
            retry_after=round(failed.retry_after, 2),
            ms=int((monotonic() - req.began) * 1000),
            left_ms=int(routed.remaining() * 1000) if routed is not None else 0,
            sends=_describe(failed.attempts),
        )
        if isinstance(failure, ClientGone):
            self.req.close_connection = True
            self.req.sent_headers = True
            return
        headers = [(b"Content-Type", JSON_TYPE.encode())]
        if failed.retry_after:
            headers.append((b"Retry-After", f"{failed.retry_after:.2f}".encode()))
        status = _status_of(failed)
        self._write(
            source, f"{status} Not Served".encode(), headers, _explain(failed), status
        )

    def _refuse(self, source: GatewaySource, failure: BadCall) -> None:
        emit(REQUEST_MALFORMED, reason=failure.reason, detail=failure.detail)
        REFUSALS.labels(failure.reason).inc()
        self.req.close_connection = True
        status = HTTP_STATUS[failure.category]
        body = to_json(failure_fields(failure))
        headers = [(b"Content-Type", JSON_TYPE.encode())]
        self._write(source, f"{status} Refused".encode(), headers, body, status)

    def _write(
        self,
        source: GatewaySource,
        status: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        code: int,
    ) -> None:
        raw = self.req
        raw.status = status
        raw.outheaders = headers
        if code not in NO_LENGTH_STATUSES:
            headers.append((b"Content-Length", str(len(body)).encode()))
        if source.intake is not Intake.OPEN:
            raw.close_connection = True
        raw.ensure_headers_sent()
        if body and raw.method != b"HEAD":
            raw.write(body)


def _status_of(failed: FailedRequest) -> int:
    """Return a status that promises "not run" only where that is true."""
    category = failed.failure.category
    if failed.may_have_run and category is not Category.TIMEOUT:
        category = Category.UPSTREAM
    if category is Category.TIMEOUT and not failed.may_have_run:
        category = Category.UNAVAILABLE
    return HTTP_STATUS[category]


def _explain(failed: FailedRequest) -> bytes:
    fields = failure_fields(failed.failure)
    return to_json({**fields, "may_have_run": failed.may_have_run})


def _describe(attempts: tuple[Attempt, ...]) -> list[dict[str, Any]]:
    return [
        {
            "instance": item.place.instance,
            "end": item.end,
            "ms": int(item.seconds * 1000),
            "expected_wait_ms": item.place.queued_ms,
            "load": round(item.place.load, 1),
            "report_ms": item.place.report_ms,
        }
        for item in attempts
    ]


def _apply_limits(server: HTTPServer, source: GatewaySource) -> None:
    """Hold clients to the limits of the routing table in force."""
    index = source.placing.view.index
    if index is None or index.routing.limits is server.limits:
        return
    limits: ClientLimits = index.routing.limits
    server.limits = limits
    server.max_request_header_size = limits.header_bytes
    server.max_request_body_size = limits.body_bytes
    server.timeout = max(1.0, limits.idle_timeout_ms / 1000)


@contextmanager
def serving_requests(listener: HttpListener, source: GatewaySource) -> Iterator[Any]:
    """Take requests on a listener until the block ends."""
    server = make_http_server(listener, RequestGateway)
    server.source = source
    server.limits = None
    with running_server(server):
        yield server
