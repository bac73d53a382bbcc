"""Read complete answers of backend servers, and tell whose they are."""

from __future__ import annotations

import http.client
from dataclasses import dataclass
from email.errors import FirstHeaderLineIsContinuationDefect
from email.errors import MalformedHeaderDefect
from email.errors import MissingHeaderBodySeparatorDefect
from functools import partial
from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError

from ..core.failures import AnswerMalformed
from ..core.failures import AnswerNotOwn
from ..core.failures import AnswerTooLarge
from ..core.numbers import parse_count
from .bodies import read_body
from .headers import Pairs
from .headers import end_to_end
from .reader import AnswerRejected
from .status_line import StatusLineMalformed
from .status_line import StrictResponse

if TYPE_CHECKING:
    from collections.abc import Callable

    from .connection import Connection
    from .reader import ReadLimits

DEFAULT_IDLE_SECONDS = 4.0
"""Time an idle connection is kept if the backend server states no timeout."""

IDLE_MARGIN_SECONDS = 2.0
"""Time before the backend server's idle timeout at which reuse stops."""

MAX_FOREIGN_ANSWERS = 1
"""Answers to other requests that may precede the expected one."""

EXCHANGE_ERRORS = (http.client.HTTPException, HTTPError, OSError, ValueError)
"""Errors that end an exchange without a complete own answer."""

HTTP_1_0 = 10
"""Version that has no transfer codings."""

HEAD_DEFECTS = (
    FirstHeaderLineIsContinuationDefect,
    MalformedHeaderDefect,
    MissingHeaderBodySeparatorDefect,
)


@dataclass(frozen=True)
class HttpAnswer:
    """Store a complete answer of a backend server."""

    status: int
    reason: str
    headers: Pairs
    """End-to-end headers."""
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the last value of a header; None if the answer has none."""
        values = self.header_values(name)
        return values[-1] if values else None

    def header_values(self, name: str) -> list[str]:
        """Return all values of a header."""
        return [value for key, value in self.headers if key.lower() == name.lower()]


@dataclass(frozen=True)
class ExpectedAnswer:
    """Describe the answer that a request waits for."""

    method: str
    """Method of the request."""
    request_id: str
    id_header: str
    """Header in which the backend server returns the id of the request."""
    success_needs_id: bool = True
    """Whether a success without an id is never believed."""
    may_end_with_close: bool = True
    """Whether an answer without length is complete at an orderly close."""


def read_answer(
    conn: Connection,
    expected: ExpectedAnswer,
    limits: ReadLimits,
    request_complete: bool,
) -> tuple[HttpAnswer, float]:
    """Return the complete answer and the seconds the connection may stay idle.

    These are 0 if the connection must be closed. Skip interim answers and, after a
    complete request, MAX_FOREIGN_ANSWERS to other requests. Raise one of
    EXCHANGE_ERRORS if no complete own answer follows.
    """
    conn.sock.reader.start_answer(limits)
    raw = _read_head(partial(http.client.HTTPConnection.getresponse, conn.http))
    foreign = 0
    while True:
        body = _read_body(conn, raw, expected, limits)
        first = not (conn.reused or foreign)
        if raw.status >= http.client.OK and _is_own(raw, expected, first):
            answer = HttpAnswer(
                raw.status, raw.reason, end_to_end(raw.getheaders()), body
            )
            usable = request_complete and not foreign
            return answer, _idle_seconds(conn, raw) if usable else 0.0
        foreign += raw.status >= http.client.OK
        if foreign > MAX_FOREIGN_ANSWERS * request_complete:
            raise AnswerRejected(AnswerNotOwn())
        conn.sock.reader.start_answer(limits)
        raw = _read_head(partial(_read_next, conn, expected))


def _read_head(
    read: Callable[[], http.client.HTTPResponse],
) -> http.client.HTTPResponse:
    """Return the answer that ``read`` returns; reject a malformed status line."""
    try:
        return read()
    except StatusLineMalformed as exc:
        raise AnswerRejected(AnswerMalformed("status line")) from exc


def _read_next(conn: Connection, expected: ExpectedAnswer) -> http.client.HTTPResponse:
    """Return the answer that follows an interim or foreign one, with its head read."""
    raw = StrictResponse(conn.sock, method=expected.method)
    raw.begin()
    return raw


def _is_own(
    raw: http.client.HTTPResponse, expected: ExpectedAnswer, first: bool
) -> bool:
    """Return whether an answer belongs to the request.

    An answer without an ID may repeat the answer to an earlier request, unless it is
    the first on its connection.
    """
    returned_id = raw.getheader(expected.id_header)
    if returned_id is not None:
        return returned_id == expected.request_id
    is_success = raw.status < http.client.MULTIPLE_CHOICES
    return first and not (is_success and expected.success_needs_id)


def _read_body(
    conn: Connection,
    raw: http.client.HTTPResponse,
    expected: ExpectedAnswer,
    limits: ReadLimits,
) -> bytes:
    conn.sock.reader.end_head()
    _check_head(raw)
    ends_with_close = raw.length is None and not raw.chunked
    if ends_with_close and not expected.may_end_with_close:
        raise AnswerRejected(AnswerMalformed("no length"))
    if raw.length is not None and raw.length > limits.body_bytes:
        raise AnswerRejected(AnswerTooLarge(f"{raw.length} bytes"))
    return read_body(raw, conn.sock.reader)


def _check_head(raw: http.client.HTTPResponse) -> None:
    """Raise AnswerRejected if the length of the body is ambiguous."""
    if any(isinstance(defect, HEAD_DEFECTS) for defect in raw.headers.defects):
        raise AnswerRejected(AnswerMalformed("header line"))
    if raw.status == http.client.SWITCHING_PROTOCOLS:
        raise AnswerRejected(AnswerMalformed("switch of protocols"))
    lengths = {
        value.strip(" \t") for value in raw.headers.get_all("Content-Length", [])
    }
    codings = raw.headers.get_all("Transfer-Encoding", [])
    has_one_framing = raw.chunked and raw.version > HTTP_1_0 and not lengths
    if codings and not (has_one_framing and len(codings) == 1):
        raise AnswerRejected(AnswerMalformed("Transfer-Encoding"))
    if len(lengths) > 1 or any(parse_count(value) is None for value in lengths):
        raise AnswerRejected(AnswerMalformed("Content-Length"))


def _idle_seconds(conn: Connection, raw: http.client.HTTPResponse) -> float:
    """Return the seconds the connection may be kept idle; 0 if it must be closed."""
    if raw.will_close or conn.sock.reader.buffered_bytes:
        return 0.0
    keep_alive = raw.getheader("Keep-Alive", "")
    _, found, rest = keep_alive.partition("timeout=")
    seconds = rest.split(",")[0].strip()
    timeout = parse_count(seconds) if found else None
    if timeout is None:
        return DEFAULT_IDLE_SECONDS
    return max(0.0, timeout - IDLE_MARGIN_SECONDS)
