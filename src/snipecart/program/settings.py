"""Define and load the programs' settings files."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from ..core.failures import Fault
from ..core.failures import SettingsInvalid
from ..core.ids import RegionName
from ..core.ids import ServiceName
from ..core.ids import VmName
from ..core.ids import ZoneName
from ..core.states import Rank
from ..text.parse import list_faults
from ..text.parse import load_json

Port = Annotated[int, Field(ge=1, le=65535)]


class Section(BaseModel):
    """Define a section of a settings file; unknown fields are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class QuotaSettings(Section):
    """Bound what the limits of organisations may be exceeded by, over all gateways."""

    window_s: Annotated[float, Field(gt=0)] = 5.0
    """Seconds of the sliding window in which requests count."""
    overage: Annotated[float, Field(ge=0)] = 0.0
    """Fraction of a limit by which it may be exceeded in a window."""
    slack: Annotated[float, Field(ge=0)] = 0.0
    """Requests in a window beyond that."""


class ControlPeer(Section):
    """Store where a control process receives messages of its peers and members."""

    vm: VmName
    host: str
    port: Port
    http_port: Port


class ControlSettings(Section):
    """Store the settings of snipecart-control."""

    vm: VmName
    host: str
    peer_port: Port
    http_port: Port
    data: Path
    peers: Annotated[tuple[ControlPeer, ...], Field(min_length=1)]
    """All control processes, including this one."""
    open_to_vms: bool = False
    """Whether control processes on VMs that ``peers`` does not list may join."""
    founding: bool = True
    """Whether the system starts for the first time, with blank disks."""
    region: RegionName = RegionName("")
    """Region of the VM; empty if it isn't known."""
    report_every_s: Annotated[float, Field(gt=0)] = 1.5
    """Seconds between two heartbeats of a backend server."""
    quota: QuotaSettings = QuotaSettings()
    placement: str = "auto"
    """Name of the rule that says which services a placement plan covers."""
    log_level: str = "NOTICE"


class RankListener(Section):
    """Store the port for calls of one rank and the number of threads that serve it."""

    rank: Rank
    port: Port
    threads: Annotated[int, Field(ge=1, le=1024)] = 48


class Policies(Section):
    """Store the names of the registered policies to use."""

    admission: str = "floors"
    routing: str = "shares"
    retry: str = "budget"


class EntrySettings(Section):
    """Store the settings of snipecart-entry."""

    vm: VmName
    host: str
    region: RegionName
    zone: ZoneName
    http_port: Port
    """Port for lookups, announcements, health and metrics."""
    listeners: Annotated[tuple[RankListener, ...], Field(min_length=1)]
    control: Annotated[tuple[ControlPeer, ...], Field(min_length=1)]
    lookup_cache_s: Annotated[float, Field(gt=0, le=3600)] = 5.0
    """Seconds that callers may cache the answer to a lookup."""
    drain_s: Annotated[float, Field(ge=0, le=3600)] = 6.0
    """Seconds that a leaving process still serves; longer than lookups are cached."""
    max_body: Annotated[int, Field(ge=0, le=64 * 1024 * 1024)] = 1024 * 1024
    """Maximum size of a call's body in bytes."""
    policies: Policies = Policies()
    log_level: str = "NOTICE"


class RetryBudgetSettings(Section):
    """Limit the retries of each service, summed over all gateways."""

    ratio: Annotated[float, Field(ge=0, le=1)] = 0.2
    """Retries allowed per first send."""
    window_s: Annotated[float, Field(gt=0)] = 10.0
    """Seconds of the sliding window in which first sends and retries count."""
    slack: Annotated[float, Field(ge=0)] = 10.0
    """Retries in a window beyond the ratio."""


class GatewaySettings(Section):
    """Store the settings of an entry process that routes HTTP requests."""

    vm: VmName
    host: str
    region: RegionName
    zone: ZoneName
    regions: tuple[RegionName, ...]
    port: Port
    ready_port: Port
    threads: Annotated[int, Field(ge=4, le=1024)] = 320
    body_memory_mb: Annotated[float, Field(gt=0)] = 64.0
    """Memory for the bodies of all requests in progress, in megabytes."""
    answer_memory_mb: Annotated[float, Field(gt=0)] = 64.0
    """Memory for the answers of all requests in progress, in megabytes."""
    max_answer_mb: Annotated[float, Field(gt=0)] = 32.0
    """Limit of one answer of a backend server, in megabytes."""
    control: Annotated[tuple[ControlPeer, ...], Field(min_length=1)]
    """Control processes to contact first; they name the others."""
    retries: RetryBudgetSettings = RetryBudgetSettings()
    key_lease_s: Annotated[float, Field(ge=0)] = 0.0
    """Seconds for which API keys are believed after a quorum has proved the routing
    table to be current; 0 to believe them always."""
    link_mbps: Annotated[float, Field(ge=0)] = 0.0
    """Capacity of the VM's link each way, in megabits per second; 0 for no limit."""
    choice: str = "warm-first"
    """Name of the policy that selects a backend server."""
    admission: str = "target"
    """Name of the rule that limits the expected wait."""
    shedding: str = "none"
    """Name of the rule that rejects requests of an overloaded service."""
    retry_after: str = "spread"
    """Name of the rule that says when a refused client should retry."""
    linger_s: Annotated[float, Field(ge=0)] = 3.0
    """Seconds that a leaving process still accepts requests."""
    stop_s: Annotated[float, Field(ge=0)] = 5.2
    """Seconds after which a leaving process exits, even if requests are in progress."""
    log_level: str = "INFO"


class StandinEndpoint(Section):
    """Store the address and location of a backend server that a stand-in simulates."""

    host: str
    port: Port
    zone: ZoneName
    region: RegionName


class StandinSettings(Section):
    """Store the settings of snipecart-standin."""

    service: ServiceName
    endpoints: Annotated[tuple[StandinEndpoint, ...], Field(min_length=1)]
    slots: Annotated[int, Field(ge=1)]
    service_ms: Annotated[float, Field(ge=0)] = 20.0
    entries: Annotated[tuple[str, ...], Field(min_length=1)]
    """``host:port`` of the entry processes that receive announcements."""
    answer_bytes: Annotated[int, Field(ge=0)] = 200
    cold_s: Annotated[float, Field(ge=0)] = 0.0
    """Seconds after start in which calls take ``cold_factor`` times as long."""
    cold_factor: Annotated[float, Field(ge=1)] = 3.0
    lease_ms: Annotated[int, Field(ge=100)] = 5000
    announce_ms: Annotated[int, Field(ge=50)] = 1000
    log_level: str = "WARNING"


S = TypeVar("S", bound=Section)


def load_settings(model: type[S], path: Path) -> Result[S, SettingsInvalid]:
    """Return the settings in a file, or SettingsInvalid with all its faults."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        return Error(_invalid(path, Fault("$", "unreadable", str(exc))))
    document = load_json(data)
    if document.is_error():
        return Error(_invalid(path, document.error))
    try:
        return Ok(model.model_validate(document.ok))
    except ValidationError as exc:
        return Error(_invalid(path, *list_faults(exc)))


def _invalid(path: Path, *faults: Fault) -> SettingsInvalid:
    return SettingsInvalid(str(path), faults)


def describe_faults(failure: SettingsInvalid) -> str:
    """Return all faults of a settings file in one line."""
    faults = "; ".join(f"{fault.path}: {fault.reason}" for fault in failure.faults)
    return f"{failure.detail}: {faults}"
