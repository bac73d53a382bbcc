"""Decode the platform's HTTP calls and pass them to the control tasks."""

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

from ..control.discovery.updates import InstanceUpdate
from ..control.metrics import REFUSALS
from ..control.requests import AwaitLeader
from ..control.requests import ReadRouting
from ..core.events import HEARTBEAT_MALFORMED
from ..core.events import ROUTING_REFUSED
from ..core.events import emit
from ..core.failures import BadCall
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
from ..program.answers import JSON_CONTENT_TYPE
from ..program.answers import describe_failure
from ..program.answers import to_json
from ..text.routing import dump_routing
from ..wire.links import IncomingMessage
from . import names
from .heartbeats import decode_deregistration
from .heartbeats import decode_heartbeat
from .manifest import decode_manifest
from .settings import load_platform_settings
from .tenants import check_regions

if TYPE_CHECKING:
    from ..control.factory import ControlTasks
    from .settings import PlatformSettings

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Limit of a call's body."""

ANSWER_TIMEOUT_SECONDS = 0.9
"""Time until a call fails; callers try another process after 1 second."""

LEADER_TIMEOUT_SECONDS = 0.7
"""Time for which a call that needs the leader waits until there is one."""

LOOKUP_TTL_SECONDS = 2
"""Time for which clients may cache the answer to a lookup."""

MAX_LOOKUP_GATEWAYS = 16
"""Gateways in the answer to a lookup."""

FAILURES_BY_REASON: dict[str, type[Failure]] = {
    failure().reason: failure for failure in (NotLeader, NoQuorum, Busy)
}

Body = bytes


@dataclass(frozen=True)
class CallInput:
    """Store the parts of a call that its handler reads."""

    name: str
    """Last segment of the path if the call is registered as a prefix, else empty."""
    query: str
    body: bytes


CallHandler = Callable[["ControlCalls", CallInput], Result[Body, Failure]]

CALLS: Registry[str, CallHandler] = Registry("handlers of platform calls")


class ControlCalls:
    """Handle the platform's calls as a WSGI application."""

    def __init__(self, platform: PlatformSettings, tasks: ControlTasks) -> None:
        self.platform, self.tasks = platform, tasks
        self.control_port = platform.address("control").port

    def reload_settings(self) -> None:
        """Use the availability zones in the settings file, unless it is malformed."""
        loaded = load_platform_settings()
        if loaded.is_ok():
            self.platform = loaded.ok

    def __call__(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        """Answer one call; unknown paths get 404."""
        path = environ.get("PATH_INFO", "")
        call, name = _find_handler(environ["REQUEST_METHOD"], path)
        if call is None:
            return _respond(start_response, 404, b"{}", [])
        query = environ.get("QUERY_STRING", "")
        result = call(self, CallInput(name, query, environ["wsgi.input"].read()))
        if result.is_ok():
            return _respond(start_response, 200, result.ok, [])
        return self._refuse(start_response, path, result.error)

    def call_node(
        self, message: Any, timeout: float = ANSWER_TIMEOUT_SECONDS
    ) -> Result[Any, Failure]:
        """Send a message to the node task and wait for its answer.

        Fail with Busy if its mailbox is full, and with NoQuorum on a timeout.
        """
        fut: Future[Any] = Future()
        if not self.tasks.node.post(IncomingMessage(message, fut.set_result)):
            return Error(Busy("mailbox full"))
        try:
            answer = fut.result(timeout)
        except TimeoutError:
            return Error(NoQuorum("no answer in time"))
        if isinstance(answer, Refused):
            return Error(FAILURES_BY_REASON.get(answer.reason, Failure)(answer.detail))
        return Ok(answer)

    def submit_instance(self, instance: Any, gone: bool) -> Result[Body, Failure]:
        """Pass a heartbeat or a deregistration to the discovery task.

        Fail with Busy if its mailbox is full, and with NotAcknowledged if the change
        isn't confirmed in time.
        """
        fut: Future[bool] = Future()
        if not self.tasks.discovery.post(
            InstanceUpdate(instance, gone, fut.set_result)
        ):
            return Error(Busy("mailbox full"))
        try:
            confirmed = fut.result(ANSWER_TIMEOUT_SECONDS)
        except TimeoutError:
            confirmed = False
        return Ok(b"{}") if confirmed else Error(NotAcknowledged())

    def _refuse(self, start_response: Any, path: str, failure: Failure) -> list[bytes]:
        """Answer a failed call; redirect it if another process leads the log."""
        REFUSALS.labels(failure.reason).inc()
        body = to_json(describe_failure(failure))
        leader = self._leader_host() if isinstance(failure, NotLeader) else ""
        if leader:
            location = f"http://{leader}:{self.control_port}{path}"
            return _respond(start_response, 307, body, [("Location", location)])
        status = HTTP_STATUS[failure.category]
        if isinstance(failure, NotLeader):
            status = 503
        return _respond(start_response, status, body, [])

    def _leader_host(self) -> str:
        """Return the leader's host, waiting until one is known; empty if none is."""
        host = self.call_node(
            AwaitLeader(LEADER_TIMEOUT_SECONDS), LEADER_TIMEOUT_SECONDS
        )
        return host.ok if host.is_ok() else ""


def _find_handler(method: str, path: str) -> tuple[CallHandler | None, str]:
    exact = f"{method} {path}"
    if exact in CALLS:
        return CALLS.get(exact), ""
    head, _, rest = exact.rpartition("/")
    if rest and f"{head}/" in CALLS:
        return CALLS.get(f"{head}/"), rest
    return None, ""


def _respond(
    start_response: Any, status: int, body: bytes, headers: list[tuple[str, str]]
) -> list[bytes]:
    fields = [("Content-Type", JSON_CONTENT_TYPE), ("Content-Length", str(len(body)))]
    start_response(f"{status} Status", [*fields, *headers])
    return [body]


@CALLS.register(f"POST {names.PUT_ROUTING}")
def put_routing(calls: ControlCalls, call_input: CallInput) -> Result[Body, Failure]:
    """Append a routing table to the log."""
    regions = frozenset(calls.platform.regions.values())
    routing = decode_manifest(call_input.body).bind(
        lambda decoded: check_regions(decoded, regions)
    )
    if routing.is_error():
        faults = getattr(routing.error, "faults", ())
        first_faults = "; ".join(f"{fault.path} {fault.reason}" for fault in faults[:3])
        emit(ROUTING_REFUSED, reason=routing.error.reason, faults=first_faults)
        return routing
    command = PutRouting(routing.ok.version, dump_routing(routing.ok), call_input.body)
    answer = calls.call_node(command)
    if answer.is_error():
        return answer
    if answer.ok.verdict is RoutingVerdict.VERSION_REUSED:
        emit(ROUTING_REFUSED, reason="version_reused", faults=str(answer.ok.version))
        return Error(VersionReused(str(answer.ok.version)))
    return Ok(b"{}")


@CALLS.register(f"GET {names.GET_ROUTING}")
def get_routing(calls: ControlCalls, call_input: CallInput) -> Result[Body, Failure]:
    """Return the newest routing table in the form that the operator sent."""
    read = calls.call_node(ReadRouting())
    if read.is_error():
        return read
    return (
        Ok(read.ok.source)
        if read.ok.source
        else Error(NoQuorum("no routing table has been set"))
    )


@CALLS.register(f"POST {names.START_EVACUATION}")
def start_evacuation(
    calls: ControlCalls, call_input: CallInput
) -> Result[Body, Failure]:
    """Start the evacuation of an availability zone."""
    return _set_evacuation(calls, call_input.name, evacuated=True)


@CALLS.register(f"POST {names.STOP_EVACUATION}")
def stop_evacuation(
    calls: ControlCalls, call_input: CallInput
) -> Result[Body, Failure]:
    """End the evacuation of an availability zone."""
    return _set_evacuation(calls, call_input.name, evacuated=False)


def _set_evacuation(
    calls: ControlCalls, zone: str, evacuated: bool
) -> Result[Body, Failure]:
    if zone not in calls.platform.regions:
        return Error(BadCall(f"unknown zone {zone!r}"))
    answer = calls.call_node(SetEvacuation(ZoneName(zone), evacuated))
    return answer.map(lambda _: b"{}")


@CALLS.register(f"POST {names.HEARTBEAT}")
def handle_heartbeat(
    calls: ControlCalls, call_input: CallInput
) -> Result[Body, Failure]:
    """Handle the heartbeat of a backend server."""
    instance = decode_heartbeat(
        call_input.name, call_input.body, calls.platform.regions
    )
    if instance.is_error():
        emit(
            HEARTBEAT_MALFORMED, instance=call_input.name, detail=instance.error.detail
        )
        return instance
    return calls.submit_instance(instance.ok, gone=False)


@CALLS.register(f"POST {names.DEREGISTER}")
def handle_deregistration(
    calls: ControlCalls, call_input: CallInput
) -> Result[Body, Failure]:
    """Handle the deregistration of a backend server."""
    instance = decode_deregistration(InstanceId(call_input.name), call_input.body)
    if instance.is_error():
        emit(
            HEARTBEAT_MALFORMED, instance=call_input.name, detail=instance.error.detail
        )
        return instance
    return calls.submit_instance(instance.ok, gone=True)


@CALLS.register(f"GET {names.RESOLVE}")
def resolve_gateways(
    calls: ControlCalls, call_input: CallInput
) -> Result[Body, Failure]:
    """Return the addresses of gateways for a client's region and zone."""
    query = parse_qs(call_input.query)
    region = RegionName(query.get("region", [""])[0])
    zone = ZoneName(query.get("zone", [""])[0])
    gateways = calls.tasks.discovery.lookup_index.select_gateways(
        region, zone, MAX_LOOKUP_GATEWAYS
    )
    if not gateways:
        return Error(NoQuorum("no gateway is known"))
    answer = {
        "addresses": [gateway.address for gateway in gateways],
        "ttl": f"{LOOKUP_TTL_SECONDS}s",
    }
    return Ok(json.dumps(answer).encode())
