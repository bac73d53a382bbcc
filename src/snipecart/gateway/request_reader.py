"""Read the head and body of a client request into an HttpRequest.

Handles malformed heads, bodies that arrive too slowly or exceed the limit, and API keys
that are rejected before the body takes memory and a thread.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from ..core.failures import BadCall
from ..core.failures import Failure
from ..core.ids import Instant
from ..core.ids import ObjectKey
from ..core.ids import RequestId
from ..core.numbers import parse_capped_count
from ..core.numbers import parse_count
from ..core.task import monotonic
from ..program.body import BodyFraming
from ..program.body import BodyStream
from ..program.body import read_body
from ..program.repeated_headers import is_repeated
from ..text.routing import MAX_TIMEOUT_MS
from ..upstream.headers import end_to_end
from .authentication import AUTHORIZATION
from .authentication import authenticate
from .authentication import read_key
from .metrics import THREAD_WAIT_SECONDS
from .request import Cancellation
from .request import HttpRequest
from .request import request_timeout

if TYPE_CHECKING:
    from cheroot.server import HTTPRequest as RawRequest

    from ..core.ids import KeyDigest
    from ..core.memory import MemoryReservation
    from ..text.routing import Route
    from ..upstream.headers import Pairs
    from .balancing.routes import RouteIndex
    from .request import HeaderNames
    from .server import RequestContext

MAX_BODY_SECONDS = 60.0
"""Longest time that a client may take to send a body."""


def read_request(
    raw: RawRequest,
    ctx: RequestContext,
    body_memory: MemoryReservation,
    answer_memory: MemoryReservation,
) -> Result[HttpRequest, Failure]:
    """Return the request with its complete body, or why it can't be read."""
    received_at, taken_at = raw.conn.head_at, monotonic()
    THREAD_WAIT_SECONDS.observe(taken_at - received_at)
    try:
        target = raw.uri.decode("ascii")
    except UnicodeDecodeError:
        return Error(BadCall("request target is not ASCII"))
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in raw.inheaders.items()
    )
    fields = {name.lower(): value for name, value in headers}
    # No route waits longer.
    timeout_ms = parse_capped_count(
        fields.get(ctx.names.deadline_ms.lower(), "0"), MAX_TIMEOUT_MS
    )
    if timeout_ms is None:
        return Error(
            BadCall(f"{ctx.names.deadline_ms} is not a valid number of milliseconds")
        )
    host = fields.get("host", "")
    key = read_key(fields.get(AUTHORIZATION), repeated=is_repeated(raw, AUTHORIZATION))
    refusal = _refuse_before_body(raw, ctx, host, target, key)
    if refusal is not None:
        return Error(refusal)
    seconds = _body_timeout(ctx, host, target, timeout_ms)
    body = _read_body(raw, ctx, Instant(received_at + seconds), body_memory)
    if body.is_error():
        return body
    return Ok(
        HttpRequest(
            raw.method.decode("latin-1"),
            target,
            host,
            _forwarded_headers(headers, ctx.names),
            body.ok,
            RequestId(fields.get(ctx.names.request_id.lower(), "")),
            ObjectKey(fields.get(ctx.names.object.lower(), "")),
            timeout_ms,
            received_at,
            Cancellation(),
            answer_memory,
            taken_at,
            monotonic(),
            key,
        )
    )


def _forwarded_headers(headers: Pairs, names: HeaderNames) -> Pairs:
    """Return the end-to-end headers without those that the gateway sets itself."""
    set_here = {names.deadline_ms.lower(), names.expected_instance.lower()}
    return end_to_end(pair for pair in headers if pair[0].lower() not in set_here)


def _refuse_before_body(
    raw: RawRequest, ctx: RequestContext, host: str, target: str, key: KeyDigest | None
) -> Failure | None:
    """Return why the API key is rejected, for a request that has a body.

    The body would take memory and a thread. The pipeline decides for all others,
    whose connections can be kept.
    """
    length = raw.inheaders.get(b"Content-Length", b"0")
    if length == b"0" and not raw.chunked_read:
        return None
    proof = ctx.lease.proof
    index = ctx.balancer.view.index
    route = _find_route(index, host, target)
    if route is None:
        return None
    decision = authenticate(index, route, key, ctx.lease, proof, monotonic())
    return decision.error if decision.is_error() else None


def _body_timeout(
    ctx: RequestContext, host: str, target: str, client_timeout_ms: int
) -> float:
    """Return the seconds until the body must be complete.

    No more than the request may take: it could not be served afterwards.
    """
    route = _find_route(ctx.balancer.view.index, host, target)
    if route is not None:
        seconds = request_timeout(route, client_timeout_ms)
    else:
        seconds = client_timeout_ms / 1000 or MAX_BODY_SECONDS
    return min(seconds, MAX_BODY_SECONDS)


def _find_route(index: RouteIndex | None, host: str, target: str) -> Route | None:
    """Return the route of a request; None without one or without a routing table."""
    return index.find(host, target) if index is not None else None


def _read_body(
    raw: RawRequest,
    ctx: RequestContext,
    deadline: Instant,
    reservation: MemoryReservation,
) -> Result[bytes, Failure]:
    length = raw.inheaders.get(b"Content-Length", b"0").decode("latin-1")
    size = parse_count(length)
    if size is None:
        return Error(BadCall("Content-Length is not a valid number"))
    max_bytes = raw.server.max_request_body_size or None
    framing = BodyFraming(size, raw.chunked_read, max_bytes)
    # cheroot would read what its own wrapper of the stream has not seen.
    raw.rfile = raw.conn.rfile
    with ctx.body_slots.waiting() as slot:
        stream = BodyStream(raw.rfile, raw.conn.socket, deadline, slot)
        return read_body(stream, framing, reservation)
