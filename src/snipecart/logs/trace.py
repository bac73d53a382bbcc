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

AROUND = 5.0
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
class Trace:
    """Hold what the logs say of one request."""

    ended: LogLine
    servers: dict[str, ServerRecord]

    @property
    def cause(self) -> str:
        """Say in a sentence why it ended as it did."""
        reason = self.ended.fields.get("reason", "answered")
        if reason in CAUSES:
            return CAUSES.get(reason)(self)
        return f"{reason}: {self.ended.fields.get('detail', '')}"


Cause = Callable[[Trace], str]

CAUSES: Registry[str, Cause] = Registry("causes by a request's reason")


def trace_request(lines: Iterable[LogLine], request: RequestId) -> Trace | None:
    """Return what the lines say of a request; None where none is about it."""
    kept = list(lines)
    ended = [line for line in kept if line.request == request]
    if not ended:
        return None
    last = ended[-1]
    servers = {
        str(send["instance"]): ServerRecord() for send in last.fields.get("sends", ())
    }
    for line in kept:
        if abs(line.at - last.at) <= AROUND and line is not last:
            _note(servers, line)
    return Trace(last, servers)


def _note(servers: dict[str, ServerRecord], line: LogLine) -> None:
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


@CAUSES.register("answered")
def explain_answer(trace: Trace) -> str:
    """Tell where the time of an answer went."""
    fields = trace.ended.fields
    sends = fields.get("sends", ())
    last = sends[-1]
    if len(sends) > 1:
        first = sends[0]
        return f"answered by its send {len(sends)}; the first ended {first['end']}"
    usual = trace.servers[last["instance"]].median_ms
    if last.get("expected_wait_ms"):
        return f"answered after {last['ms']} ms, queued for {last['expected_wait_ms']}"
    if usual and last["ms"] > 2 * usual:
        return (
            f"answered after {last['ms']} ms by {last['instance']}, whose other"
            f" answers took {usual}: the object was new to it, or it stalled"
        )
    return f"answered after {last['ms']} ms by {last['instance']}, usual there: {usual}"


@CAUSES.register(ServerSaturated().reason)
def explain_saturation(trace: Trace) -> str:
    """Tell which wait was too long."""
    return f"refused at once, not run: {trace.ended.fields.get('detail', '')}"


@CAUSES.register(NoEndpoint().reason)
def explain_no_server(trace: Trace) -> str:
    """Tell that nobody could serve it."""
    detail = trace.ended.fields.get("detail", "")
    return f"refused, not run: no server of {detail} in its regions and zones"


@CAUSES.register(NoRouting().reason)
@CAUSES.register(NoRoute().reason)
@CAUSES.register(Stopping().reason)
def explain_gateway(trace: Trace) -> str:
    """Tell what the gateway lacked."""
    fields = trace.ended.fields
    version = fields.get("version", 0)
    return f"refused by the gateway: {fields['reason']}, routing version {version}"


@CAUSES.register(BackendTimedOut().reason)
@CAUSES.register(BackendBroken().reason)
@CAUSES.register(AttemptsSpent().reason)
def explain_failure(trace: Trace) -> str:
    """Tell whether its server failed others, too."""
    fields = trace.ended.fields
    last = fields["sends"][-1]
    record = trace.servers[last["instance"]]
    failed = sum(count for end, count in record.ends.items() if end != "answered")
    total = sum(record.ends.values())
    run = "may have run" if fields.get("may_have_run") else "not run"
    return (
        f"{run}: {last['instance']} ended {last['end']} after {last['ms']} ms"
        f" {fields.get('detail', '')}; {failed} of {total} other sends there"
        f" failed within {AROUND:.0f} s"
    )


@CAUSES.register(ClientGone().reason)
def explain_client(trace: Trace) -> str:
    """Tell when the client left."""
    fields = trace.ended.fields
    left = fields.get("left_ms", 0)
    return f"its client left after {fields.get('ms', 0)} ms, {left} ms before the end"
