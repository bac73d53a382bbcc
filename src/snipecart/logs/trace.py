"""Explain from the logs how one request ended and why."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..core.events import SERVER_EJECTED
from ..core.events import SERVER_REMOVED
from ..core.events import SERVER_UPDATED
from ..core.failures import ApiKeyMissing
from ..core.failures import ApiKeyUnknown
from ..core.failures import ApiKeyUnproven
from ..core.failures import AttemptsSpent
from ..core.failures import BackendBroken
from ..core.failures import BackendTimedOut
from ..core.failures import ClientGone
from ..core.failures import NoEndpoint
from ..core.failures import NoRoute
from ..core.failures import NoRouting
from ..core.failures import ServerSaturated
from ..core.failures import ServiceOverloaded
from ..core.failures import Stopping
from ..core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..core.ids import RequestId
    from .lines import LogLine

CONTEXT_SECONDS = 5.0
"""Seconds before and after a request's end in which lines about its servers count."""

SERVER_EVENTS = frozenset(
    item.number for item in (SERVER_UPDATED, SERVER_REMOVED, SERVER_EJECTED)
)


@dataclass
class ServerRecord:
    """Store the other sends to a backend server, and its events, around a request."""

    ends: dict[str, int] = field(default_factory=dict)
    """Number of sends by outcome."""
    answered_ms: list[int] = field(default_factory=list)
    """Latency of each answer in milliseconds."""
    events: list[LogLine] = field(default_factory=list)
    """Events about the backend server, such as its ejection."""

    @property
    def median_ms(self) -> int:
        """Return the median latency of the answers in milliseconds, 0 without any."""
        times = sorted(self.answered_ms)
        return times[len(times) // 2] if times else 0


@dataclass(frozen=True)
class RequestTrace:
    """Store what the logs contain about one request."""

    last_line: LogLine
    """Last line about the request, normally that of its end."""
    servers: dict[str, ServerRecord]
    """Other sends to the backend servers of the request, by instance."""

    @property
    def cause(self) -> str:
        """Return a sentence that explains why the request ended as it did."""
        reason = self.last_line.fields.get("reason", "answered")
        if reason in EXPLAINERS:
            return EXPLAINERS.get(reason)(self)
        return f"{reason}: {self.last_line.fields.get('detail', '')}"


Explainer = Callable[[RequestTrace], str]

EXPLAINERS: Registry[str, Explainer] = Registry("explainers by a request's reason")


def trace_request(lines: Iterable[LogLine], request: RequestId) -> RequestTrace | None:
    """Return what the lines contain about a request, or None if none is about it."""
    all_lines = list(lines)
    own_lines = [line for line in all_lines if line.request == request]
    if not own_lines:
        return None
    last = own_lines[-1]
    servers = {
        str(send["instance"]): ServerRecord() for send in last.fields.get("sends", ())
    }
    for line in all_lines:
        if abs(line.at - last.at) <= CONTEXT_SECONDS and line is not last:
            _add_line(servers, line)
    return RequestTrace(last, servers)


def _add_line(servers: dict[str, ServerRecord], line: LogLine) -> None:
    if line.event in SERVER_EVENTS:
        record = servers.get(str(line.fields.get("instance")))
        if record is not None:
            record.events.append(line)
    for send in line.fields.get("sends", ()):
        record = servers.get(str(send["instance"]))
        if record is None:
            continue
        record.ends[send["end"]] = record.ends.get(send["end"], 0) + 1
        if send["end"] == "answered":
            record.answered_ms.append(int(send["ms"]))


@EXPLAINERS.register("answered")
def explain_answer(trace: RequestTrace) -> str:
    """Explain how long an answer took and why."""
    fields = trace.last_line.fields
    sends = fields.get("sends", ())
    last = sends[-1]
    if len(sends) > 1:
        first = sends[0]
        return f"answered by send {len(sends)}; the first send ended {first['end']}"
    typical_ms = trace.servers[last["instance"]].median_ms
    if last.get("expected_wait_ms"):
        return f"answered after {last['ms']} ms, queued for {last['expected_wait_ms']}"
    if typical_ms and last["ms"] > 2 * typical_ms:
        return (
            f"answered after {last['ms']} ms by {last['instance']}, whose other"
            f" answers took {typical_ms} ms: the server was not warm for the object,"
            " or it stalled"
        )
    return (
        f"answered after {last['ms']} ms by {last['instance']},"
        f" median of its other answers in ms: {typical_ms}"
    )


@EXPLAINERS.register(ServerSaturated().reason)
@EXPLAINERS.register(ServiceOverloaded().reason)
def explain_saturation(trace: RequestTrace) -> str:
    """Explain which expected wait was too long."""
    return f"refused at once, not run: {trace.last_line.fields.get('detail', '')}"


@EXPLAINERS.register(NoEndpoint().reason)
def explain_no_server(trace: RequestTrace) -> str:
    """Explain that no backend server was available."""
    detail = trace.last_line.fields.get("detail", "")
    return (
        f"refused, not run: no backend server of {detail} in the allowed regions"
        " and zones"
    )


@EXPLAINERS.register(NoRouting().reason)
@EXPLAINERS.register(NoRoute().reason)
@EXPLAINERS.register(Stopping().reason)
@EXPLAINERS.register(ApiKeyMissing().reason)
@EXPLAINERS.register(ApiKeyUnknown().reason)
@EXPLAINERS.register(ApiKeyUnproven().reason)
def explain_gateway(trace: RequestTrace) -> str:
    """Explain why the gateway refused the request without selecting a server."""
    fields = trace.last_line.fields
    version = fields.get("version", 0)
    return (
        f"refused by the gateway: {fields['reason']}, routing table version {version}"
    )


@EXPLAINERS.register(BackendTimedOut().reason)
@EXPLAINERS.register(BackendBroken().reason)
@EXPLAINERS.register(AttemptsSpent().reason)
def explain_failure(trace: RequestTrace) -> str:
    """Explain how the last send ended and whether other sends to its server failed."""
    fields = trace.last_line.fields
    last = fields["sends"][-1]
    record = trace.servers[last["instance"]]
    failed = sum(count for end, count in record.ends.items() if end != "answered")
    total = sum(record.ends.values())
    execution = "may have run" if fields.get("may_have_run") else "not run"
    return (
        f"{execution}: {last['instance']} ended {last['end']} after {last['ms']} ms"
        f" {fields.get('detail', '')}; {failed} of {total} other sends there"
        f" failed within {CONTEXT_SECONDS:.0f} s"
    )


@EXPLAINERS.register(ClientGone().reason)
def explain_client(trace: RequestTrace) -> str:
    """Explain when the client disconnected."""
    fields = trace.last_line.fields
    left_ms = fields.get("left_ms", 0)
    return (
        f"client disconnected after {fields.get('ms', 0)} ms,"
        f" {left_ms} ms before the deadline"
    )
