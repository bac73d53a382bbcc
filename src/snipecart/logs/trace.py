"""Explain one request from the logs: how it ended, and what that rests on."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..core.events import SERVER_EJECTED
from ..core.events import SERVER_REMOVED
from ..core.events import SERVER_UPDATED
from ..core.failures import AttemptsSpent
from ..core.failures import BackendBroken
from ..core.failures import BackendTimedOut
from ..core.failures import ClientGone
from ..core.failures import NoEndpoint
from ..core.failures import NoRoute
from ..core.failures import NoRouting
from ..core.failures import ServerSaturated
from ..core.failures import Stopping
from ..core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..core.ids import RequestId
    from .lines import LogLine

CONTEXT_SECONDS = 5.0
"""Seconds before and after a request in which its server's other lines count."""

SERVER_EVENTS = frozenset(
    item.number for item in (SERVER_UPDATED, SERVER_REMOVED, SERVER_EJECTED)
)


@dataclass
class ServerRecord:
    """Count how a backend server's other sends ended around a request."""

    ends: dict[str, int] = field(default_factory=dict)
    answered_ms: list[int] = field(default_factory=list)
    events: list[LogLine] = field(default_factory=list)

    @property
    def median_ms(self) -> int:
        """Return the median time of its answers, 0 without any."""
        times = sorted(self.answered_ms)
        return times[len(times) // 2] if times else 0


@dataclass(frozen=True)
class RequestTrace:
    """Hold what the logs say of one request."""

    ended: LogLine
    servers: dict[str, ServerRecord]

    @property
    def cause(self) -> str:
        """Say in a sentence why it ended as it did."""
        reason = self.ended.fields.get("reason", "answered")
        if reason in EXPLAINERS:
            return EXPLAINERS.get(reason)(self)
        return f"{reason}: {self.ended.fields.get('detail', '')}"


Explainer = Callable[[RequestTrace], str]

EXPLAINERS: Registry[str, Explainer] = Registry("causes by a request's reason")


def trace_request(lines: Iterable[LogLine], request: RequestId) -> RequestTrace | None:
    """Return what the lines say of a request; None where none is about it."""
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
    """Tell where the time of an answer went."""
    fields = trace.ended.fields
    sends = fields.get("sends", ())
    last = sends[-1]
    if len(sends) > 1:
        first = sends[0]
        return f"answered by its send {len(sends)}; the first ended {first['end']}"
    typical_ms = trace.servers[last["instance"]].median_ms
    if last.get("expected_wait_ms"):
        return f"answered after {last['ms']} ms, queued for {last['expected_wait_ms']}"
    if typical_ms and last["ms"] > 2 * typical_ms:
        return (
            f"answered after {last['ms']} ms by {last['instance']}, whose other"
            f" answers took {typical_ms}: the object was new to it, or it stalled"
        )
    return (
        f"answered after {last['ms']} ms by {last['instance']},"
        f" usual there: {typical_ms}"
    )


@EXPLAINERS.register(ServerSaturated().reason)
def explain_saturation(trace: RequestTrace) -> str:
    """Tell which wait was too long."""
    return f"refused at once, not run: {trace.ended.fields.get('detail', '')}"


@EXPLAINERS.register(NoEndpoint().reason)
def explain_no_server(trace: RequestTrace) -> str:
    """Tell that nobody could serve it."""
    detail = trace.ended.fields.get("detail", "")
    return f"refused, not run: no server of {detail} in its regions and zones"


@EXPLAINERS.register(NoRouting().reason)
@EXPLAINERS.register(NoRoute().reason)
@EXPLAINERS.register(Stopping().reason)
def explain_gateway(trace: RequestTrace) -> str:
    """Tell what the gateway lacked."""
    fields = trace.ended.fields
    version = fields.get("version", 0)
    return f"refused by the gateway: {fields['reason']}, routing version {version}"


@EXPLAINERS.register(BackendTimedOut().reason)
@EXPLAINERS.register(BackendBroken().reason)
@EXPLAINERS.register(AttemptsSpent().reason)
def explain_failure(trace: RequestTrace) -> str:
    """Tell whether its server failed others, too."""
    fields = trace.ended.fields
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
    """Tell when the client left."""
    fields = trace.ended.fields
    left_ms = fields.get("left_ms", 0)
    return (
        f"its client left after {fields.get('ms', 0)} ms, {left_ms} ms before the end"
    )
