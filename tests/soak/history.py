"""Record what callers, backend servers and operators saw during a soak."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import Any
from typing import NewType

from snipecart.core.task import Task

Seconds = NewType("Seconds", float)
"""Time of a monotonic clock, as all observers run in one process."""

ProcessName = NewType("ProcessName", str)
ServerName = NewType("ServerName", str)
Version = NewType("Version", int)

MAX_RECORDS = 1_000_000


class Ending(StrEnum):
    """How a client's attempt ended."""

    ANSWERED = "answered"
    CLOSED = "closed"
    """The connection ended after the request was sent, without a whole answer."""
    NOT_SENT = "not sent"
    UNANSWERED = "unanswered"
    """The client gave up at its own deadline."""
    LEFT = "left"
    """The client left early on purpose."""


@dataclass(frozen=True)
class Attempt:
    """Record one request of a client and how it ended."""

    request: str
    gateway: ProcessName
    idempotent: bool
    path: str
    body: bytes
    sent_at: Seconds
    ended_at: Seconds
    ending: Ending
    status: int = 0
    signature: str = ""
    answer: bytes = b""


@dataclass(frozen=True)
class Run:
    """Record that a backend server began to work on a request."""

    request: str
    server: ServerName
    service: str
    gateway: str
    """Address from which the request came."""
    path: str
    body: bytes
    at: Seconds
    status: int
    """Status of the answer that the server makes."""
    said_leaving: bool = False
    """Whether the answer says that the server leaves."""
    limit: float = 0.0
    """Requests per second that the answer names as the server's limit; 0 for none."""
    zone: str = ""
    cold_rate: float = 0.0
    """Requests per second that the server takes, as it is cold; 0 if it isn't."""


@dataclass(frozen=True)
class Pause:
    """Record that a server refused a request and asked for a pause."""

    server: ServerName
    gateway: str
    """Address from which the request came."""
    at: Seconds
    seconds: Seconds


@dataclass(frozen=True)
class Drained:
    """Record that a server's announcement to leave was acknowledged."""

    server: ServerName
    acknowledged_at: Seconds


@dataclass(frozen=True)
class Change:
    """Record a change of the configuration that operators sent."""

    version: Version
    service: str
    """Service of the route that changes between services."""
    timeout: Seconds
    """Timeout of all routes."""
    valid: bool
    sent_at: Seconds
    ended_at: Seconds
    status: int
    """Status of the answer; 0 if none came."""


@dataclass(frozen=True)
class ReadBack:
    """Record a read of the configuration."""

    process: ProcessName
    sent_at: Seconds
    status: int
    version: Version


@dataclass(frozen=True)
class Disturbance:
    """Record the time in which a fault may affect a process."""

    process: ProcessName
    fault: str
    begin: Seconds
    end: Seconds
    cuts: bool
    """Whether the process may cut off requests then; a planned stop may not."""


@dataclass(frozen=True)
class Evacuation:
    """Record the evacuation of a zone."""

    zone: str
    acknowledged_at: Seconds
    ended_at: Seconds
    """Time at which its end was sent."""
    restored_at: Seconds
    """Time at which its end was acknowledged."""
    used_at: Seconds
    """Time of the first request that it got then; infinite if there was none."""


@dataclass(frozen=True)
class PowerLoss:
    """Record that all processes were killed at once and started again."""

    lost_at: Seconds
    started_at: Seconds


@dataclass(frozen=True)
class OwnExit:
    """Record that a process ended without a signal of the soak."""

    process: ProcessName
    code: int
    at: Seconds


@dataclass
class History:
    """Store all records of a soak by their type."""

    attempts: list[Attempt] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    pauses: list[Pause] = field(default_factory=list)
    drained: list[Drained] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    reads: list[ReadBack] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    power_losses: list[PowerLoss] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    exits: list[OwnExit] = field(default_factory=list)
    served_at_end: dict[ProcessName, int] = field(default_factory=dict)
    """Of ten requests to each gateway after all faults, how many were served."""
    changed_at_end: bool = True
    """Whether a change was acknowledged and read back in time after all faults."""

    def add(self, record: Any) -> None:
        """Add a record to the list of its type."""
        lists: dict[type[Any], list[Any]] = {
            Attempt: self.attempts,
            Run: self.runs,
            Pause: self.pauses,
            Drained: self.drained,
            Change: self.changes,
            ReadBack: self.reads,
            Disturbance: self.disturbances,
            PowerLoss: self.power_losses,
            Evacuation: self.evacuations,
            OwnExit: self.exits,
        }
        lists[type(record)].append(record)

    def disturbed(self, process: str, begin: float, end: float) -> bool:
        """Return whether a fault may have affected a process in a time."""
        return any(
            item.process == process and item.begin < end and begin < item.end
            for item in self.disturbances
        )


class RecorderTask(Task):
    """Own the history and add the records that others post."""

    def __init__(self) -> None:
        super().__init__("recorder", MAX_RECORDS)
        self.history = History()

    def handle(self, batch: list[Any], now: Any) -> None:
        """Add all records."""
        for record in batch:
            self.history.add(record)
