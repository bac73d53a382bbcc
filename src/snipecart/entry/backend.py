"""Dispatch calls to backend servers over HTTP."""

from __future__ import annotations

import threading
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import urllib3
from urllib3.exceptions import ConnectTimeoutError
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError
from urllib3.exceptions import ReadTimeoutError

from ..core.ids import CallId
from ..core.ids import EndpointId
from ..core.ids import Instant
from ..core.states import DispatchOutcome
from ..core.task import monotonic
from ..messages.commands import RecordedAnswer
from .metrics import DISPATCHES

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .call import ResolvedCall

CONNECT_TIMEOUT_SECONDS = 1.0
"""Timeout of opening a connection."""

READ_SIZE = 65_536

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Maximum size of an answer's body; a larger answer counts as timed out."""

MAX_IDLE_CONNECTIONS = 64
"""Idle connections kept per backend server."""

NO_LOAD_REPORT = -1.0
"""Load if the backend server reported none."""

CALL_HEADER = "Snipecart-Call"
KEY_HEADER = "Snipecart-Key"
DEADLINE_HEADER = "Snipecart-Deadline-Ms"
LOAD_HEADER = "Snipecart-Load"
NOT_RUN_HEADER = "Snipecart-Not-Run"

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


class UnusableAnswer(Exception):
    """Report an answer whose end is unknown, or one to another call."""


class BackendClient:
    """Store idle connections to backend servers and dispatch calls over them."""

    def __init__(self, source_host: str) -> None:
        self._source_address = (source_host, 0)
        self._pools: dict[EndpointId, urllib3.HTTPConnectionPool] = {}
        self._lock = threading.Lock()

    def dispatch(
        self, call: ResolvedCall, endpoint: EndpointId, timeout: float
    ) -> DispatchResult:
        """Send a call over a pooled connection and read its complete answer."""
        return self._dispatch(self._pool(endpoint), call, timeout)

    def dispatch_on_new_connection(
        self, call: ResolvedCall, endpoint: EndpointId, timeout: float
    ) -> DispatchResult:
        """Send a call over a new connection and read its complete answer.

        On a reused connection, a close by the peer can't be distinguished from a lost
        answer.
        """
        with self._single_use_pool(endpoint) as pool:
            return self._dispatch(pool, call, timeout)

    def cancel(self, endpoint: EndpointId, call_id: CallId) -> None:
        """Ask a backend server to cancel a call; ignore failures."""
        try:
            self._pool(endpoint).request(
                "DELETE",
                f"/calls/{call_id}",
                timeout=CONNECT_TIMEOUT_SECONDS,
                retries=False,
            )
        except HTTPError:
            return

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()

    def close_unserved(self, served_endpoints: set[EndpointId]) -> None:
        """Close the idle connections to endpoints not in ``served_endpoints``."""
        with self._lock:
            for endpoint in set(self._pools) - served_endpoints:
                self._pools.pop(endpoint).close()

    def _pool(self, endpoint: EndpointId) -> urllib3.HTTPConnectionPool:
        with self._lock:
            if endpoint not in self._pools:
                self._pools[endpoint] = self._make_pool(endpoint, MAX_IDLE_CONNECTIONS)
            return self._pools[endpoint]

    def _make_pool(self, endpoint: EndpointId, size: int) -> urllib3.HTTPConnectionPool:
        host, _, port = endpoint.rpartition(":")
        return urllib3.HTTPConnectionPool(
            host, int(port), maxsize=size, source_address=self._source_address
        )

    @contextmanager
    def _single_use_pool(
        self, endpoint: EndpointId
    ) -> Iterator[urllib3.HTTPConnectionPool]:
        pool = self._make_pool(endpoint, 1)
        try:
            yield pool
        finally:
            pool.close()

    def _dispatch(
        self, pool: urllib3.HTTPConnectionPool, call: ResolvedCall, timeout: float
    ) -> DispatchResult:
        started_at = monotonic()
        read_deadline = Instant(started_at + timeout)
        load = NO_LOAD_REPORT
        answer = EMPTY_ANSWER
        try:
            response = self._request(pool, call, timeout)
            load = _parse_load(response)
            answer = _read_answer(response, call, read_deadline)
            is_shed = answer.status == 503 and NOT_RUN_HEADER in response.headers
            end = DispatchOutcome.SHED if is_shed else DispatchOutcome.ANSWERED
        except (NewConnectionError, ConnectTimeoutError):
            end = DispatchOutcome.NOT_SENT
        except (ReadTimeoutError, TimeoutError):
            end = DispatchOutcome.TIMED_OUT
        except (HTTPError, UnusableAnswer, OSError):
            end = DispatchOutcome.BROKEN
        DISPATCHES.labels(end).inc()
        return DispatchResult(end, answer, monotonic() - started_at, load)

    def _request(
        self, pool: urllib3.HTTPConnectionPool, call: ResolvedCall, timeout: float
    ) -> urllib3.BaseHTTPResponse:
        headers = {
            CALL_HEADER: call.req.call_id,
            DEADLINE_HEADER: str(int(max(0.0, call.remaining()) * 1000)),
            "Content-Type": call.req.content_type,
        }
        if call.req.key:
            headers[KEY_HEADER] = call.req.key
        return pool.urlopen(
            "POST",
            f"/{call.req.kind}",
            body=call.req.body,
            headers=headers,
            retries=False,
            redirect=False,
            preload_content=False,
            timeout=urllib3.Timeout(
                connect=min(timeout, CONNECT_TIMEOUT_SECONDS), read=max(timeout, 0.001)
            ),
        )


def _parse_load(response: urllib3.BaseHTTPResponse) -> float:
    try:
        return float(response.headers.get(LOAD_HEADER, NO_LOAD_REPORT))
    except ValueError:
        return NO_LOAD_REPORT


def _read_answer(
    response: urllib3.BaseHTTPResponse, call: ResolvedCall, read_deadline: Instant
) -> RecordedAnswer:
    """Read an answer to its end.

    Raise UnusableAnswer if it belongs to another call or its end is unknown, and
    TimeoutError if it is too large or incomplete at the deadline.
    """
    if response.headers.get(CALL_HEADER, call.req.call_id) != call.req.call_id:
        response.close()
        raise UnusableAnswer("answer belongs to another call")
    has_length = "Content-Length" in response.headers
    is_chunked = "chunked" in response.headers.get("Transfer-Encoding", "")
    if not has_length and not is_chunked and response.status not in (204, 304):
        response.close()
        raise UnusableAnswer("answer has no length")
    body = bytearray()
    while chunk := response.read1(READ_SIZE):
        body += chunk
        if len(body) > MAX_ANSWER_BYTES or monotonic() > read_deadline:
            response.close()
            raise TimeoutError
    response.release_conn()
    content_type = response.headers.get("Content-Type", "application/octet-stream")
    return RecordedAnswer(response.status, content_type, bytes(body))
