"""Send requests to backend servers over pooled connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.failures import BackendBroken
from ..core.failures import BackendTimedOut
from ..core.failures import BackendUnreachable
from ..core.failures import DeadlinePassed
from ..core.failures import Failure
from ..core.ids import EndpointId
from ..core.ids import Instant
from ..core.states import SendOutcome
from ..core.task import monotonic
from ..upstream.answers import EXCHANGE_ERRORS
from ..upstream.answers import ExpectedAnswer
from ..upstream.connection import Connection
from ..upstream.connection import connect
from ..upstream.pool import ConnectionPool
from ..upstream.reader import AnswerLimits
from ..upstream.reader import AnswerRejected
from ..upstream.requests import BackendRequest
from .load_report import parse_load_report
from .metrics import CONNECTIONS
from .request import SendResult
from .server_notice import read_notice

if TYPE_CHECKING:
    from ..upstream.answers import HttpAnswer
    from .request import Destination
    from .request import HeaderNames
    from .request import RoutedRequest

RETURN_MARGIN_SECONDS = 0.02
"""Time before the deadline reserved for sending the answer to the client."""

REJECTION_STATUSES = frozenset({400, 429, 503})
"""Statuses with which a backend server may report that it did not run a request."""

MISDIRECTED_STATUS = 421

DEFAULT_LIMITS = AnswerLimits()


class BackendClient:
    """Store idle connections to backend servers and send requests over them."""

    def __init__(
        self,
        source_host: str,
        names: HeaderNames,
        limits: AnswerLimits = DEFAULT_LIMITS,
    ) -> None:
        self._source_host = source_host
        self._names = names
        self._limits = limits
        self._connections = ConnectionPool()

    def send(self, routed: RoutedRequest, destination: Destination) -> SendResult:
        """Send a request to a backend server and read its complete answer."""
        started_at = monotonic()
        conn = self._connections.take(_endpoint(destination), routed.req.request_id)
        if conn is None:
            conn = self._connect(destination, routed.remaining())
            if conn is None:
                seconds = monotonic() - started_at
                return SendResult(
                    SendOutcome.NOT_SENT, seconds, failure=BackendUnreachable()
                )
        if not routed.req.cancellation.set_interrupt(conn.shut_down):
            conn.close()
            return SendResult(SendOutcome.CANCELLED, monotonic() - started_at)
        try:
            return self._exchange(conn, routed, destination, started_at)
        finally:
            routed.req.cancellation.set_interrupt(None)

    def close(self) -> None:
        """Close all idle connections."""
        self._connections.close()

    def close_idle_except(self, endpoints: set[EndpointId]) -> None:
        """Close the idle connections to all endpoints but these."""
        self._connections.close_except(endpoints)

    def _connect(self, destination: Destination, timeout: float) -> Connection | None:
        conn = connect(destination.host, destination.port, self._source_host, timeout)
        if conn is not None:
            CONNECTIONS.inc()
        return conn

    def _exchange(
        self,
        conn: Connection,
        routed: RoutedRequest,
        destination: Destination,
        started_at: Instant,
    ) -> SendResult:
        req = routed.req
        deadline = Instant(routed.deadline - RETURN_MARGIN_SECONDS)
        if monotonic() >= deadline:
            conn.close()
            return SendResult(
                SendOutcome.NOT_SENT, monotonic() - started_at, failure=DeadlinePassed()
            )
        limits = self._limits.start(deadline, req.answer_memory)
        expected = ExpectedAnswer(req.method, req.request_id, self._names.request_id)
        headers = (
            *routed.forwarded_headers,
            (self._names.deadline_ms, str(int((deadline - monotonic()) * 1000))),
            (self._names.expected_instance, destination.instance),
        )
        try:
            answer = self._connections.exchange(
                _endpoint(destination),
                conn,
                BackendRequest(req.method, req.target, headers, req.body),
                expected,
                limits,
                lambda: req.cancellation.set_interrupt(None),
            )
        except EXCHANGE_ERRORS as exc:
            outcome, failure = _classify_error(routed, exc)
            return SendResult(outcome, monotonic() - started_at, failure=failure)
        return self._make_result(answer, monotonic() - started_at)

    def _make_result(self, answer: HttpAnswer, seconds: float) -> SendResult:
        load = parse_load_report(answer.header(self._names.load_report) or "")
        end = SendOutcome.ANSWERED
        if answer.status == MISDIRECTED_STATUS:
            end = SendOutcome.MISDIRECTED
        elif (
            answer.status in REJECTION_STATUSES
            and answer.header(self._names.not_run) is not None
        ):
            end = SendOutcome.REJECTED
        return SendResult(end, seconds, answer, load, read_notice(answer, self._names))


def _endpoint(destination: Destination) -> EndpointId:
    return EndpointId(f"{destination.host}:{destination.port}")


def _classify_error(
    routed: RoutedRequest, exc: Exception
) -> tuple[SendOutcome, Failure]:
    if routed.req.cancellation.cancelled:
        return SendOutcome.CANCELLED, BackendBroken(type(exc).__name__)
    if isinstance(exc, TimeoutError) and routed.remaining() < 2 * RETURN_MARGIN_SECONDS:
        return SendOutcome.TIMED_OUT, BackendTimedOut(type(exc).__name__)
    if isinstance(exc, AnswerRejected):
        return SendOutcome.BROKEN, exc.failure
    return SendOutcome.BROKEN, BackendBroken(type(exc).__name__)
