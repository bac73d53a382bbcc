"""Dispatch calls to backend servers over HTTP."""

from __future__ import annotations

import http.client
from dataclasses import dataclass
from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError

from ..core.ids import CallId
from ..core.ids import EndpointId
from ..core.ids import Instant
from ..core.memory import unlimited_reservation
from ..core.states import DispatchOutcome
from ..core.task import monotonic
from ..messages.commands import RecordedAnswer
from ..upstream.answers import ExpectedAnswer
from ..upstream.answers import HttpAnswer
from ..upstream.answers import read_answer
from ..upstream.connection import Connection
from ..upstream.connection import connect
from ..upstream.pool import IdleConnections
from ..upstream.reader import ReadLimits
from ..upstream.requests import write_request
from .metrics import DISPATCHES

if TYPE_CHECKING:
    from .call import ResolvedCall

MAX_HEAD_BYTES = 65_536
"""Maximum size of an answer's head and of the interim answers before it."""

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Maximum size of an answer; a larger one counts as broken."""

CANCEL_TIMEOUT_SECONDS = 1.0
"""Time for which the answer to a cancellation is waited for."""

NO_LOAD_REPORT = -1.0
"""Load if the backend server reported none."""

CALL_HEADER = "Snipecart-Call"
KEY_HEADER = "Snipecart-Key"
DEADLINE_HEADER = "Snipecart-Deadline-Ms"
LOAD_HEADER = "Snipecart-Load"
NOT_RUN_HEADER = "Snipecart-Not-Run"

EMPTY_ANSWER = RecordedAnswer(0, "", b"")

CONNECTION_ERRORS = (http.client.HTTPException, HTTPError, OSError, ValueError)


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
        self._idle = IdleConnections()

    def dispatch(
        self, call: ResolvedCall, endpoint: EndpointId, timeout: float
    ) -> DispatchResult:
        """Send a call over a kept connection and read its complete answer."""
        started_at = monotonic()
        conn = self._idle.take(endpoint, call.req.call_id)
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
        limits = _make_limits(Instant(monotonic() + CANCEL_TIMEOUT_SECONDS))
        try:
            write_request(conn, "DELETE", f"/calls/{call_id}", (), b"", limits)
            read_answer(conn, ExpectedAnswer("DELETE", call_id, CALL_HEADER), limits)
        except CONNECTION_ERRORS:
            return
        finally:
            conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        self._idle.close()

    def close_unserved(self, served_endpoints: set[EndpointId]) -> None:
        """Close the idle connections to endpoints not in ``served_endpoints``."""
        self._idle.close_except(served_endpoints)

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
        if conn is None:
            end = DispatchOutcome.NOT_SENT
        else:
            try:
                raw = self._exchange(
                    conn, call, endpoint, Instant(started_at + timeout)
                )
                load = _parse_load(raw)
                answer = _make_recorded_answer(raw)
                end = DispatchOutcome.ANSWERED
                if _header(raw, NOT_RUN_HEADER) is not None and answer.status == 503:
                    end = DispatchOutcome.SHED
            except TimeoutError:
                end = DispatchOutcome.TIMED_OUT
            except CONNECTION_ERRORS:
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
        limits = _make_limits(deadline)
        expected = ExpectedAnswer(
            "POST",
            call.req.call_id,
            CALL_HEADER,
            success_needs_id=False,
            may_end_with_close=False,
        )
        target, headers, body = f"/{call.req.kind}", _make_headers(call), call.req.body
        idle_seconds = 0.0
        try:
            complete = write_request(conn, "POST", target, headers, body, limits)
            answer, idle_seconds = read_answer(conn, expected, limits, complete)
            if not complete:
                idle_seconds = 0.0
            return answer
        finally:
            if idle_seconds > 0:
                self._idle.put(endpoint, conn, idle_seconds)
            else:
                conn.close()


def _make_limits(deadline: Instant) -> ReadLimits:
    return ReadLimits(
        deadline, MAX_HEAD_BYTES, MAX_ANSWER_BYTES, unlimited_reservation()
    )


def _make_headers(call: ResolvedCall) -> tuple[tuple[str, str], ...]:
    milliseconds = int(max(0.0, call.remaining()) * 1000)
    headers = (
        (CALL_HEADER, call.req.call_id),
        (DEADLINE_HEADER, str(milliseconds)),
        ("Content-Type", call.req.content_type),
    )
    return (*headers, (KEY_HEADER, call.req.key)) if call.req.key else headers


def _make_recorded_answer(answer: HttpAnswer) -> RecordedAnswer:
    content_type = _header(answer, "Content-Type") or "application/octet-stream"
    return RecordedAnswer(answer.status, content_type, answer.body)


def _header(answer: HttpAnswer, name: str) -> str | None:
    """Return the value of a header; None if the answer has none."""
    values = [value for key, value in answer.headers if key.lower() == name.lower()]
    return values[0] if values else None


def _parse_load(answer: HttpAnswer) -> float:
    try:
        return float(_header(answer, LOAD_HEADER) or NO_LOAD_REPORT)
    except ValueError:
        return NO_LOAD_REPORT
