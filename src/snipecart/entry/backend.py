"""Dispatch calls to backend servers over HTTP."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..core.ids import CallId
from ..core.ids import EndpointId
from ..core.ids import Instant
from ..core.memory import MemoryBudget
from ..core.memory import reserving
from ..core.numbers import parse_decimal
from ..core.states import DispatchOutcome
from ..core.task import monotonic
from ..messages.commands import RecordedAnswer
from ..upstream.answers import EXCHANGE_ERRORS
from ..upstream.answers import ExpectedAnswer
from ..upstream.answers import HttpAnswer
from ..upstream.connection import Connection
from ..upstream.connection import connect
from ..upstream.pool import ConnectionPool
from ..upstream.reader import AnswerLimits
from ..upstream.requests import BackendRequest
from .metrics import DISPATCHES

if TYPE_CHECKING:
    from .call import ResolvedCall

ANSWER_LIMITS = AnswerLimits(body_bytes=16 * 1024 * 1024)
"""Limits of an answer; a larger one counts as broken."""

ANSWER_MEMORY_BYTES = 4 * ANSWER_LIMITS.body_bytes
"""Memory for the answers that are being read; one that exceeds it counts as broken."""

CANCEL_TIMEOUT_SECONDS = 1.0
"""Time for which the answer to a cancellation is waited for."""

NO_LOAD_REPORT = -1.0
"""Load if the backend server reported none."""

CALL_HEADER = "Snipecart-Call"
KEY_HEADER = "Snipecart-Key"
DEADLINE_HEADER = "Snipecart-Deadline-Ms"
LOAD_HEADER = "Snipecart-Load"
NOT_RUN_HEADER = "Snipecart-Not-Run"

SHED_STATUS = 503
"""Status with which a backend server may report that it did not run a call."""

EMPTY_ANSWER = RecordedAnswer(0, "", b"")


@dataclass(frozen=True)
class DispatchResult:
    """Store the result of dispatching a call to one backend server."""

    end: DispatchOutcome
    answer: RecordedAnswer
    """Complete answer if ``end`` is ANSWERED; else not to be used."""
    seconds: float
    """Time from the start of the dispatch to its end."""
    load: float
    """Load that the backend server reported; below 0 if it reported none."""


class BackendClient:
    """Store idle connections to backend servers and dispatch calls over them."""

    def __init__(self, source_host: str) -> None:
        self._source_host = source_host
        self._connections = ConnectionPool()
        self.answer_memory = MemoryBudget(ANSWER_MEMORY_BYTES)

    def dispatch(
        self, call: ResolvedCall, endpoint: EndpointId, timeout: float
    ) -> DispatchResult:
        """Send a call over a kept connection and read its complete answer."""
        started_at = monotonic()
        conn = self._connections.take(endpoint, call.req.call_id)
        if conn is None:
            conn = self._connect(endpoint, timeout)
        return self._dispatch(conn, call, endpoint, started_at, timeout)

    def dispatch_on_new_connection(
        self, call: ResolvedCall, endpoint: EndpointId, timeout: float
    ) -> DispatchResult:
        """Send a call over a new connection and read its complete answer.

        On a reused connection, a close by the peer can't be distinguished from a lost
        answer.
        """
        started_at = monotonic()
        conn = self._connect(endpoint, timeout)
        return self._dispatch(conn, call, endpoint, started_at, timeout)

    def cancel(self, endpoint: EndpointId, call_id: CallId) -> None:
        """Ask a backend server to cancel a call; ignore failures."""
        conn = self._connect(endpoint, CANCEL_TIMEOUT_SECONDS)
        if conn is None:
            return
        deadline = Instant(monotonic() + CANCEL_TIMEOUT_SECONDS)
        with reserving(self.answer_memory) as reservation, suppress(*EXCHANGE_ERRORS):
            self._connections.exchange(
                endpoint,
                conn,
                BackendRequest("DELETE", f"/calls/{call_id}", (), b""),
                ExpectedAnswer("DELETE", call_id, CALL_HEADER, success_needs_id=False),
                ANSWER_LIMITS.start(deadline, reservation),
            )

    def close(self) -> None:
        """Close all idle connections."""
        self._connections.close()

    def close_unserved(self, served_endpoints: set[EndpointId]) -> None:
        """Close the idle connections to endpoints not in ``served_endpoints``."""
        self._connections.close_except(served_endpoints)

    def _connect(self, endpoint: EndpointId, timeout: float) -> Connection | None:
        host, _, port = endpoint.rpartition(":")
        return connect(host, int(port), self._source_host, timeout)

    def _dispatch(
        self,
        conn: Connection | None,
        call: ResolvedCall,
        endpoint: EndpointId,
        started_at: Instant,
        timeout: float,
    ) -> DispatchResult:
        load = NO_LOAD_REPORT
        answer = EMPTY_ANSWER
        deadline = Instant(started_at + timeout)
        try:
            if conn is None:
                end = DispatchOutcome.NOT_SENT
            else:
                raw = self._exchange(conn, call, endpoint, deadline)
                load = _parse_load(raw)
                answer = _make_recorded_answer(raw)
                end = _classify_answer(raw)
        except TimeoutError:
            end = DispatchOutcome.TIMED_OUT
        except EXCHANGE_ERRORS:
            end = DispatchOutcome.BROKEN
        DISPATCHES.labels(end).inc()
        return DispatchResult(end, answer, monotonic() - started_at, load)

    def _exchange(
        self,
        conn: Connection,
        call: ResolvedCall,
        endpoint: EndpointId,
        deadline: Instant,
    ) -> HttpAnswer:
        """Return the complete answer, and keep or close the connection."""
        req = BackendRequest(
            "POST", f"/{call.req.kind}", _make_headers(call), call.req.body
        )
        expected = ExpectedAnswer(
            req.method,
            call.req.call_id,
            CALL_HEADER,
            success_needs_id=False,
            may_end_with_close=False,
        )
        with reserving(self.answer_memory) as reservation:
            limits = ANSWER_LIMITS.start(deadline, reservation)
            return self._connections.exchange(endpoint, conn, req, expected, limits)


def _classify_answer(answer: HttpAnswer) -> DispatchOutcome:
    is_shed = answer.header(NOT_RUN_HEADER) is not None and answer.status == SHED_STATUS
    return DispatchOutcome.SHED if is_shed else DispatchOutcome.ANSWERED


def _make_headers(call: ResolvedCall) -> tuple[tuple[str, str], ...]:
    milliseconds = int(max(0.0, call.remaining()) * 1000)
    headers = (
        (CALL_HEADER, call.req.call_id),
        (DEADLINE_HEADER, str(milliseconds)),
        ("Content-Type", call.req.content_type),
    )
    return (*headers, (KEY_HEADER, call.req.key)) if call.req.key else headers


def _make_recorded_answer(answer: HttpAnswer) -> RecordedAnswer:
    content_type = answer.header("Content-Type") or "application/octet-stream"
    return RecordedAnswer(answer.status, content_type, answer.body)


def _parse_load(answer: HttpAnswer) -> float:
    load = parse_decimal((answer.header(LOAD_HEADER) or "").strip())
    return load if load is not None else NO_LOAD_REPORT
