"""Read client requests from HTTP connections and write their answers."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from cheroot.server import Gateway
from cheroot.server import HTTPServer

from ..core.events import CLIENT_DISCONNECTED
from ..core.events import REQUEST_ENDED
from ..core.events import REQUEST_MALFORMED
from ..core.events import REQUEST_UNREAD
from ..core.events import emit
from ..core.failures import BadCall
from ..core.failures import Category
from ..core.failures import ClientGone
from ..core.failures import Failure
from ..core.failures import Stopping
from ..core.memory import MemoryBudget
from ..core.memory import reserving
from ..core.sockets import has_peer_closed
from ..core.sockets import socket_timeout
from ..core.states import DrainState
from ..core.task import monotonic
from ..core.task import running
from ..program.answers import HTTP_STATUS
from ..program.answers import JSON_CONTENT_TYPE
from ..program.answers import describe_failure
from ..program.answers import to_json
from ..program.http import make_http_server
from ..program.http import running_server
from ..program.overdue import OverdueTask
from .key_lease import KeyLease
from .metrics import REFUSALS
from .metrics import REQUEST_SECONDS
from .metrics import REQUESTS
from .request import AnsweredRequest
from .request import FailedRequest
from .request_reader import read_request
from .responses import describe_attempts
from .responses import describe_organisation
from .responses import failure_body
from .responses import http_status
from .responses import log_if_late
from .responses import refuse_overdue
from .retry_after import choose_retry_after

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

    from ..core.pipe import Pipe
    from ..program.body import BodySlots
    from ..program.listener import HttpListener
    from ..text.routing import ClientLimits
    from .balancing.task import BalancerTask
    from .request import HeaderNames
    from .request import HttpRequest
    from .watch import WatchTask

WRITE_SECONDS = 30.0
"""Time that a client may take to read an answer, beside that for its bytes."""

MIN_READ_RATE = 10_000
"""Bytes per second that a client must read of a long answer."""

MIN_IDLE_SECONDS = 1.0
"""Shortest time for which a client may be idle, whatever the routing table says."""

MAX_IDLE_SECONDS = 86_400.0
"""Longest such time. Sockets wait for 32 bits of milliseconds at most."""

LEAVING_RETRY_AFTER_SECONDS = 0.1
"""``Retry-After`` of requests that arrive after the gateway stopped accepting."""

CHALLENGE = (b"WWW-Authenticate", b"Bearer")
"""Header of answers with status 401."""

STATUSES_WITHOUT_LENGTH = frozenset({204, 304})


@dataclass
class RequestContext:
    """Store what the HTTP server needs to handle requests."""

    pipeline: Pipe
    names: HeaderNames
    watch: WatchTask
    balancer: BalancerTask
    body_memory: MemoryBudget
    answer_memory: MemoryBudget
    body_slots: BodySlots
    rng: Random
    drain_state: DrainState = DrainState.OPEN
    lease: KeyLease = field(default_factory=KeyLease)


class RequestGateway(Gateway):
    """Run one HTTP request through the pipeline and write the answer."""

    def respond(self) -> None:
        """Read one request, run it through the pipeline and write its answer."""
        ctx: RequestContext = self.req.server.ctx
        _apply_limits(self.req.server, ctx)
        with (
            reserving(ctx.body_memory) as body_memory,
            reserving(ctx.answer_memory) as answer_memory,
        ):
            request = read_request(self.req, ctx, body_memory, answer_memory)
            if request.is_ok():
                self._handle(ctx, request.ok)
            else:
                self._send_rejection(ctx, request.error)

    def _handle(self, ctx: RequestContext, req: HttpRequest) -> None:
        """Run a request through the pipeline and write its answer."""
        if ctx.drain_state is DrainState.CLOSED:
            self._send_failure(
                ctx, req, FailedRequest(Stopping(), False, LEAVING_RETRY_AFTER_SECONDS)
            )
            return
        descriptor = self.req.conn.socket.fileno()
        if has_peer_closed(descriptor):
            self._send_failure(ctx, req, FailedRequest(ClientGone(), False))
            return
        with ctx.watch.watching(descriptor, req.cancellation):
            result = ctx.pipeline.run(req)
        if result.is_ok():
            self._send_answer(ctx, req, result.ok)
        else:
            self._send_failure(ctx, req, result.error)

    def _send_answer(
        self, ctx: RequestContext, req: HttpRequest, answered: AnsweredRequest
    ) -> None:
        """Write the answer of a backend server, and record the request as answered."""
        answer = answered.answer
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in answer.headers
        ]
        status = f"{answer.status} {answer.reason}".encode("latin-1")
        self._write_response(ctx, status, headers, answer.body, answer.status)
        route = answered.routed.route
        seconds = monotonic() - req.received_at
        REQUESTS.labels(route.name, "answered").inc()
        REQUEST_SECONDS.labels(answered.routed.rank).observe(seconds)
        emit(
            REQUEST_ENDED,
            request=req.request_id,
            route=route.name,
            version=answered.routed.routing_version,
            object=req.object,
            status=answer.status,
            ms=int(seconds * 1000),
            sends=describe_attempts(answered.attempts),
            **describe_organisation(answered.routed),
        )
        log_if_late(answered.routed)

    def _send_failure(
        self, ctx: RequestContext, req: HttpRequest, failed: FailedRequest
    ) -> None:
        """Write the answer to a failed request, and record the reason.

        Write nothing if the client has disconnected.
        """
        failure, routed = failed.failure, failed.routed
        name = routed.route.name if routed is not None else ""
        REFUSALS.labels(failure.reason).inc()
        REQUESTS.labels(name, failure.reason).inc()
        emit(
            CLIENT_DISCONNECTED if isinstance(failure, ClientGone) else REQUEST_ENDED,
            request=req.request_id,
            route=name,
            version=routed.routing_version if routed is not None else 0,
            object=req.object,
            reason=failure.reason,
            detail=failure.detail,
            may_have_run=failed.may_have_run,
            retry_after=round(failed.retry_after, 2),
            ms=int((monotonic() - req.received_at) * 1000),
            left_ms=int(routed.remaining() * 1000) if routed is not None else 0,
            sends=describe_attempts(failed.attempts),
            **describe_organisation(routed),
        )
        if routed is not None:
            log_if_late(routed)
        if isinstance(failure, ClientGone):
            self.req.close_connection = True
            self.req.sent_headers = True
            return
        headers = _failure_headers(failure, failed.retry_after)
        status = http_status(failed)
        self._write_response(
            ctx, f"{status} Not Served".encode(), headers, failure_body(failed), status
        )

    def _send_rejection(self, ctx: RequestContext, failure: Failure) -> None:
        """Write the answer to a request that was not read, and end its connection."""
        fields = {name.lower(): value for name, value in self.req.inheaders.items()}
        name = ctx.names.request_id.lower().encode()
        emit(
            REQUEST_MALFORMED if isinstance(failure, BadCall) else REQUEST_UNREAD,
            request=fields.get(name, b"").decode("latin-1"),
            reason=failure.reason,
            detail=failure.detail,
        )
        REFUSALS.labels(failure.reason).inc()
        self.req.close_connection = True
        status = HTTP_STATUS[failure.category]
        body = to_json(describe_failure(failure))
        unavailable = failure.category is Category.UNAVAILABLE
        retry_after = choose_retry_after(ctx.rng, 0) if unavailable else 0.0
        headers = _failure_headers(failure, retry_after)
        self._write_response(ctx, f"{status} Refused".encode(), headers, body, status)
        self.req.server.discard_input(self.req.conn)
        self.req.close_connection = False

    def _write_response(
        self,
        ctx: RequestContext,
        status: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        code: int,
    ) -> None:
        """Write a response, and close the connection if the gateway drains."""
        raw = self.req
        raw.status = status
        raw.outheaders = headers
        if code not in STATUSES_WITHOUT_LENGTH:
            headers.append((b"Content-Length", str(len(body)).encode()))
        if ctx.drain_state is not DrainState.OPEN:
            raw.close_connection = True
        raw.ensure_headers_sent()
        if body and raw.method != b"HEAD":
            seconds = WRITE_SECONDS + len(body) / MIN_READ_RATE
            with socket_timeout(raw.conn.socket, seconds):
                raw.conn.socket.sendall(body)


def _failure_headers(failure: Failure, retry_after: float) -> list[tuple[bytes, bytes]]:
    """Return the headers of the answer to a failed request.

    A ``retry_after`` of 0 seconds sends no ``Retry-After``.
    """
    headers = [(b"Content-Type", JSON_CONTENT_TYPE.encode())]
    if failure.category is Category.UNAUTHENTICATED:
        headers.append(CHALLENGE)
    if retry_after:
        headers.append((b"Retry-After", f"{retry_after:.2f}".encode()))
    return headers


def _apply_limits(server: HTTPServer, ctx: RequestContext) -> None:
    """Apply the client limits of the current routing table to the HTTP server."""
    index = ctx.balancer.view.index
    if index is None or index.routing.limits is server.limits:
        return
    limits: ClientLimits = index.routing.limits
    server.limits = limits
    server.max_request_header_size = limits.header_bytes
    server.max_request_body_size = limits.body_bytes
    server.head_timeout = limits.header_timeout_ms / 1000
    idle_seconds = max(MIN_IDLE_SECONDS, limits.idle_timeout_ms / 1000)
    server.timeout = min(idle_seconds, MAX_IDLE_SECONDS)


@contextmanager
def serving_requests(listener: HttpListener, ctx: RequestContext) -> Iterator[Any]:
    """Accept requests on a listener until the block ends."""
    server = make_http_server(listener, RequestGateway)
    server.ctx = ctx
    server.limits = None
    server.overdue = OverdueTask(server, partial(refuse_overdue, ctx.rng))
    with running(server.overdue), running_server(server):
        yield server
