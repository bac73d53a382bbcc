"""Define the replicated state, which is the same on every control process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pydantic import TypeAdapter
from pydantic.dataclasses import Field
from pydantic.dataclasses import dataclass

from ...core.ids import AttemptId
from ...core.ids import Digest
from ...core.ids import InstanceId
from ...core.ids import LogIndex
from ...core.ids import RequestKey
from ...core.ids import RoutingVersion
from ...core.ids import SubmissionId
from ...core.ids import TextVersion
from ...core.ids import UnixMillis
from ...core.ids import ZoneName
from ...core.message import record
from ...core.registry import Registry
from ...core.states import ClaimState
from ...messages.commands import ChangeVoters
from ...messages.commands import Entry
from ...messages.commands import Noop
from ...messages.commands import RecordedAnswer
from ...messages.commands import SubmitAnswer
from ...messages.discovery import Departure

NO_ANSWER = RecordedAnswer(0, "", b"")

BUCKET_MS = 60_000
"""Milliseconds of key issue time per bucket; a bucket's claims expire together."""


@record
class Submission:
    """Store the first answer to a submission id."""

    digest: Digest
    answer: SubmitAnswer


@record
class Claim:
    """Store the claim of one request key."""

    key: RequestKey
    scope: str
    digest: Digest
    attempt: AttemptId
    issued: UnixMillis
    state: ClaimState
    answer: RecordedAnswer

    @property
    def identity(self) -> str:
        """Return the scope and the key, which identify the claim."""
        return claim_identity(self.scope, self.key)


@record
class RecordedDeparture:
    """Store a departure, and when the log recorded it."""

    departure: Departure
    index: LogIndex
    at: UnixMillis


def claim_identity(scope: str, key: RequestKey) -> str:
    """Return the identity of a claim from its scope and key."""
    return f"{scope}\n{key}"


@dataclass(config={"ser_json_bytes": "base64", "val_json_bytes": "base64"})
class MachineState:
    """Store configurations, claims, routing table, evacuated zones and departures."""

    now: UnixMillis = UnixMillis(0)
    version: TextVersion = TextVersion(0)
    text: bytes = b""
    submissions: dict[SubmissionId, Submission] = Field(default_factory=dict)
    claims: dict[str, Claim] = Field(default_factory=dict)
    buckets: dict[int, list[str]] = Field(default_factory=dict)
    """Claim identities by issue time of their keys, in units of BUCKET_MS."""
    routing_version: RoutingVersion = RoutingVersion(0)
    routing: bytes = b""
    routing_source: bytes = b""
    evacuation_index: LogIndex = LogIndex(0)
    """Log index of the entry that last changed the evacuated zones."""
    evacuated: list[ZoneName] = Field(default_factory=list)
    departures: dict[InstanceId, RecordedDeparture] = Field(default_factory=dict)
    """Recent departures of backend servers, in the order of the log."""


Applier = Callable[[MachineState, Any, Entry], Any]

APPLIERS: Registry[type[Any], Applier] = Registry("handlers of replicated commands")

_ADAPTER = TypeAdapter(MachineState)


def apply_entry(state: MachineState, entry: Entry) -> Any:
    """Apply one committed entry and return its answer."""
    state.now = UnixMillis(max(state.now, entry.at))
    return APPLIERS.get(type(entry.command))(state, entry.command, entry)


def dump_state(state: MachineState) -> bytes:
    """Return the whole state as JSON for a snapshot."""
    return _ADAPTER.dump_json(state)


def load_state(data: bytes) -> MachineState:
    """Return the state in a snapshot, or a new one if it is empty."""
    return _ADAPTER.validate_json(data) if data else MachineState()


@APPLIERS.register(Noop)
def apply_noop(state: MachineState, command: Noop, entry: Entry) -> Noop:
    """Change nothing; it suffices that the entry is committed."""
    return command


@APPLIERS.register(ChangeVoters)
def apply_change_voters(
    state: MachineState, command: ChangeVoters, entry: Entry
) -> ChangeVoters:
    """Change nothing here, as the log itself tracks its members."""
    return command
