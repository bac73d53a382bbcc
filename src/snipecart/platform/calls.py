"""Answer the platform's calls by handing them to the tasks that decide."""

from __future__ import annotations

import json
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qs

from expression import Error
from expression import Ok
from expression import Result

from ..control.discovery.task import InstanceUpdate
from ..control.metrics import REFUSALS
from ..control.requests import ReadRouting
from ..control.requests import StatusQuery
from ..core.events import REPORT_MALFORMED
from ..core.events import ROUTING_REFUSED
from ..core.events import emit
from ..core.failures import BadCall
from ..core.failures import BodyTooLarge
from ..core.failures import Busy
from ..core.failures import Failure
from ..core.failures import NoQuorum
from ..core.failures import NotAcknowledged
from ..core.failures import NotLeader
from ..core.failures import VersionReused
from ..core.ids import InstanceId
from ..core.ids import RegionName
from ..core.ids import ZoneName
from ..core.registry import Registry
from ..core.states import RoutingVerdict
from ..messages.commands import PutRouting
from ..messages.commands import Refused
from ..messages.commands import SetEvacuation
from ..program.answers import HTTP_STATUS
from ..program.answers import JSON_TYPE
from ..program.answers import failure_fields
from ..program.answers import to_json
from ..text.routing import dump_routing
from ..wire.links import Received
from . import names
from .manifest import decode_manifest
from .reports import decode_departure
from .reports import decode_report

if TYPE_CHECKING:
    from ..control.factory import ControlTasks
    from .settings import PlatformSettings

MAX_BODY = 8 * 1024 * 1024
"""Bytes of a call's body."""

ANSWER_WAIT = 0.9
"""Seconds until a call is given up; callers go elsewhere after a second."""

LOOKUP_SECONDS = 2
"""Seconds for which clients may keep the answer to a look-up."""

LOOKUP_MOST = 16
"""Gateways that a look-up names."""

REASONS: dict[str, type[Failure]] = {
    failure().reason: failure for failure in (NotLeader, NoQuorum, Busy)
}

Body = bytes


@dataclass(frozen=True)
class Asked:
    """Hold what a caller sent with a call."""

    name: str
    """Last part of the path, where the call has one of its own."""
    query: str
    body: bytes


Call = Callable[["ControlCalls", Asked], Result[Body, Failure]]

CALLS: Registry[str, Call] = Registry("calls of the platform")


class ControlCalls:
    """Take calls as a WSGI application."""

    def __init__(self, given: PlatformSettings, tasks: ControlTasks) -> None:
        self.given, self.tasks = given, tasks
        self.control_port = given.address("control").port

    def __call__(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        """Answer one call."""
        path = environ.get("PATH_INFO", "")
        call, name = _find(environ["REQUEST_METHOD"], path)
        if call is None:
            return _write(start_response, 404, b"{}", [])
        query = environ.get("QUERY_STRING", "")
        body = _read_body(environ)
        done = body.bind(lambda data: call(self, Asked(name, query, data)))
        if done.is_ok():
            return _write(start_response, 200, done.ok, [])
        return self._refuse(start_response, path, done.error)

    def ask(self, message: Any) -> Result[Any, Failure]:
        """Ask the task that owns the log."""
        fut: Future[Any] = Future()
        if not self.tasks.node.post(Received(message, fut.set_result)):
            return Error(Busy("mailbox full"))
        try:
            answer = fut.result(ANSWER_WAIT)
        except TimeoutError:
            return Error(NoQuorum("no answer in time"))
        if isinstance(answer, Refused):
            return Error(REASONS.get(answer.reason, Failure)(answer.detail))
        return Ok(answer)

    def report(self, instance: Any, gone: bool) -> Result[Body, Failure]:
        """Hand a report to the task that follows backend servers."""
        fut: Future[bool] = Future()
        if not self.tasks.discovery.post(
            InstanceUpdate(instance, gone, fut.set_result)
        ):
            return Error(Busy("mailbox full"))
        try:
            confirmed = fut.result(ANSWER_WAIT)
        except TimeoutError:
            confirmed = False
        return Ok(b"{}") if confirmed else Error(NotAcknowledged())

    def _refuse(self, start_response: Any, path: str, failure: Failure) -> list[bytes]:
        REFUSALS.labels(failure.reason).inc()
        body = to_json(failure_fields(failure))
        leader = self._leader_host() if isinstance(failure, NotLeader) else ""
        if leader:
            location = f"http://{leader}:{self.control_port}{path}"
            return _write(start_response, 307, body, [("Location", location)])
        status = HTTP_STATUS[failure.category]
        if isinstance(failure, NotLeader):
            status = 503
        return _write(start_response, status, body, [])

    def _leader_host(self) -> str:
        status = self.ask(StatusQuery())
        if status.is_error() or status.ok.leader == status.ok.node:
            return ""
        for node in (*status.ok.voters, *status.ok.learners):
            if node.node == status.ok.leader:
                return node.host
        return ""


def _find(method: str, path: str) -> tuple[Call | None, str]:
    exact = f"{method} {path}"
    if exact in CALLS:
        return CALLS.get(exact), ""
    head, _, rest = exact.rpartition("/")
    if rest and f"{head}/" in CALLS:
        return CALLS.get(f"{head}/"), rest
    return None, ""


def _read_body(environ: dict[str, Any]) -> Result[bytes, Failure]:
    length = environ.get("CONTENT_LENGTH") or "0"
    chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "")
    if not length.isdecimal():
        return Error(BadCall("length is no number"))
    if int(length) > MAX_BODY:
        return Error(BodyTooLarge())
    wanted = MAX_BODY + 1 if chunked else int(length)
    body = environ["wsgi.input"].read(wanted) if wanted else b""
    if not chunked and len(body) < wanted:
        return Error(BadCall("body cut short"))
    return Ok(body) if len(body) <= MAX_BODY else Error(BodyTooLarge())


def _write(
    start_response: Any, status: int, body: bytes, headers: list[tuple[str, str]]
) -> list[bytes]:
    fields = [("Content-Type", JSON_TYPE), ("Content-Length", str(len(body)))]
    start_response(f"{status} Status", [*fields, *headers])
    return [body]


@CALLS.register(f"POST {names.PUT_ROUTING}")
def put_routing(calls: ControlCalls, asked: Asked) -> Result[Body, Failure]:
    """Offer a routing table to the log."""
    routing = decode_manifest(asked.body)
    if routing.is_error():
        faults = getattr(routing.error, "faults", ())
        said = "; ".join(f"{fault.path} {fault.reason}" for fault in faults[:3])
        emit(ROUTING_REFUSED, reason=routing.error.reason, faults=said)
        return routing
    offered = PutRouting(routing.ok.version, dump_routing(routing.ok), asked.body)
    answer = calls.ask(offered)
    if answer.is_error():
        return answer
    if answer.ok.verdict is RoutingVerdict.VERSION_REUSED:
        emit(ROUTING_REFUSED, reason="version_reused", faults=str(answer.ok.version))
        return Error(VersionReused(str(answer.ok.version)))
    return Ok(b"{}")


@CALLS.register(f"GET {names.GET_ROUTING}")
def get_routing(calls: ControlCalls, asked: Asked) -> Result[Body, Failure]:
    """Return the newest routing table as the operator sent it."""
    read = calls.ask(ReadRouting())
    if read.is_error():
        return read
    return Ok(read.ok.source) if read.ok.source else Error(NoQuorum("no table yet"))


@CALLS.register(f"POST {names.EVACUATE}")
def evacuate(calls: ControlCalls, asked: Asked) -> Result[Body, Failure]:
    """Keep requests away from a zone."""
    return _set_evacuation(calls, asked.name, evacuated=True)


@CALLS.register(f"POST {names.RETURN}")
def end_evacuation(calls: ControlCalls, asked: Asked) -> Result[Body, Failure]:
    """Let requests back to a zone."""
    return _set_evacuation(calls, asked.name, evacuated=False)


def _set_evacuation(
    calls: ControlCalls, zone: str, evacuated: bool
) -> Result[Body, Failure]:
    if zone not in calls.given.regions:
        return Error(BadCall(f"no zone {zone!r}"))
    answer = calls.ask(SetEvacuation(ZoneName(zone), evacuated))
    return answer.map(lambda _: b"{}")


@CALLS.register(f"POST {names.REPORT}")
def take_report(calls: ControlCalls, asked: Asked) -> Result[Body, Failure]:
    """Take a backend server's report."""
    instance = decode_report(asked.name, asked.body, calls.given.regions)
    if instance.is_error():
        emit(REPORT_MALFORMED, instance=asked.name, detail=instance.error.detail)
        return instance
    return calls.report(instance.ok, gone=False)


@CALLS.register(f"POST {names.LEAVE}")
def take_departure(calls: ControlCalls, asked: Asked) -> Result[Body, Failure]:
    """Take a backend server's word that it is gone."""
    instance = decode_departure(InstanceId(asked.name), asked.body)
    if instance.is_error():
        emit(REPORT_MALFORMED, instance=asked.name, detail=instance.error.detail)
        return instance
    return calls.report(instance.ok, gone=True)


@CALLS.register(f"GET {names.RESOLVE}")
def resolve(calls: ControlCalls, asked: Asked) -> Result[Body, Failure]:
    """Name the gateways that a client should use."""
    query = parse_qs(asked.query)
    region = RegionName(query.get("region", [""])[0])
    zone = ZoneName(query.get("zone", [""])[0])
    chosen = calls.tasks.discovery.lookup_index.select_gateways(
        region, zone, LOOKUP_MOST
    )
    if not chosen:
        return Error(NoQuorum("no gateway known"))
    answer = {
        "addresses": [gateway.address for gateway in chosen],
        "ttl": f"{LOOKUP_SECONDS}s",
    }
    return Ok(json.dumps(answer).encode())
