"""Read calls from HTTP requests and write their answers."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import ExitStack
from typing import TYPE_CHECKING
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from ..core.failures import BadCall
from ..core.failures import Failure
from ..core.ids import CallerName
from ..core.ids import KindName
from ..core.ids import RequestKey
from ..core.ids import ServiceName
from ..core.numbers import parse_capped_count
from ..core.numbers import parse_count
from ..core.states import Outcome
from ..core.states import Rank
from ..core.task import monotonic
from ..program.answers import HTTP_STATUS
from ..program.answers import JSON_CONTENT_TYPE
from ..program.answers import to_json
from ..text.model import MAX_DEADLINE_MS
from .call import AnsweredCall
from .call import CallFailed
from .call import CallRequest
from .call import new_call_id

if TYPE_CHECKING:
    from .pipeline import CallPipeline
    from .steering.task import SteeringTask

STATUS_LINES = {
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    413: "413 Content Too Large",
    421: "421 Misdirected Request",
    429: "429 Too Many Requests",
    502: "502 Bad Gateway",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}

ANONYMOUS_CALLER = CallerName("anonymous")

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
Headers = list[tuple[str, str]]


class CallSource:
    """Accept calls as a WSGI application and run them through the pipeline."""

    def __init__(
        self,
        pipeline: CallPipeline,
        steering: SteeringTask,
        ranks: dict[int, Rank],
        max_body: int,
    ) -> None:
        self._pipeline, self._steering = pipeline, steering
        self._ranks, self._max_body = ranks, max_body

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Answer one call."""
        result = self._read_call(environ).bind(self._pipeline.run)
        headers = [("Connection", "close")] if self._steering.view.draining else []
        if result.is_error():
            return _write_failure(start_response, result.error, headers)
        return _write_answer(start_response, result.ok, headers)

    def _read_call(self, environ: Environ) -> Result[CallRequest, CallFailed]:
        received_at = monotonic()
        path_parts = environ.get("PATH_INFO", "").strip("/").split("/")
        if environ["REQUEST_METHOD"] != "POST" or len(path_parts) != 2:
            return Error(_refuse("request must be POST /call/<service>/<kind>"))
        timeout = environ.get("HTTP_SNIPECART_DEADLINE_MS", "0")
        length = environ.get("CONTENT_LENGTH") or "0"
        timeout_ms = parse_capped_count(timeout, MAX_DEADLINE_MS)
        body_size = parse_count(length)
        if timeout_ms is None or body_size is None:
            return Error(_refuse("Snipecart-Deadline-Ms or Content-Length is invalid"))
        size = min(body_size, self._max_body + 1)
        body = environ["wsgi.input"].read(size) if size else b""
        if len(body) < size:
            return Error(_refuse("body is shorter than Content-Length"))
        return Ok(
            CallRequest(
                new_call_id(),
                ServiceName(path_parts[0]),
                KindName(path_parts[1]),
                CallerName(
                    environ.get("HTTP_SNIPECART_CALLER", "") or ANONYMOUS_CALLER
                ),
                RequestKey(environ.get("HTTP_SNIPECART_KEY", "")),
                timeout_ms,
                body,
                environ.get("CONTENT_TYPE") or "application/octet-stream",
                self._ranks.get(int(environ["SERVER_PORT"])),
                received_at,
                ExitStack(),
            )
        )


def _refuse(detail: str) -> CallFailed:
    return CallFailed("", BadCall(detail), Outcome.UNKNOWN)


def _write_answer(
    start_response: StartResponse, answered_call: AnsweredCall, headers: Headers
) -> list[bytes]:
    answer = answered_call.answer
    headers = [
        *headers,
        ("Content-Type", answer.content_type),
        ("Content-Length", str(len(answer.body))),
        ("Snipecart-Outcome", Outcome.ANSWERED),
        ("Snipecart-Endpoint", answered_call.endpoint),
        ("Snipecart-Tries", str(answered_call.tries)),
    ]
    start_response(f"{answer.status} From backend server", headers)
    return [answer.body]


def _write_failure(
    start_response: StartResponse, error: Failure, headers: Headers
) -> list[bytes]:
    failure = error.failure if isinstance(error, CallFailed) else error
    outcome = error.outcome if isinstance(error, CallFailed) else Outcome.UNKNOWN
    body = to_json(
        {"reason": failure.reason, "detail": failure.detail, "outcome": outcome}
    )
    headers = [
        *headers,
        ("Content-Type", JSON_CONTENT_TYPE),
        ("Content-Length", str(len(body))),
        ("Snipecart-Outcome", outcome),
    ]
    start_response(STATUS_LINES[HTTP_STATUS[failure.category]], headers)
    return [body]
