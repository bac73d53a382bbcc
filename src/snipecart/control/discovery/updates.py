"""Declare the messages of a control process to its discovery task."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...core.ids import LogIndex
from ...core.ids import RoutingVersion
from ...core.ids import Term
from ...core.ids import VmName
from ...messages.discovery import NO_WITNESS
from ...messages.discovery import LogWitness

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...core.ids import NodeId
    from ...core.ids import ZoneName
    from ...messages.commands import Node
    from ...messages.discovery import Departure
    from ...messages.discovery import Instance
    from ..machine.state import RecordedDeparture


@dataclass(frozen=True)
class InstanceUpdate:
    """Pass a heartbeat or departure to the task.

    ``reply`` is called with whether the update is confirmed.
    """

    instance: Instance
    gone: bool
    reply: Callable[[bool], None]


@dataclass(frozen=True)
class CommittedState:
    """Describe the part of the replicated state that gateways need."""

    routing_version: RoutingVersion = RoutingVersion(0)
    routing: bytes = b""
    evacuation_index: LogIndex = LogIndex(0)
    evacuated: tuple[ZoneName, ...] = ()
    voters: tuple[Node, ...] = ()
    members: tuple[Node, ...] = ()
    """Voters and learners of the last committed membership change."""
    members_index: LogIndex = LogIndex(0)
    departures: tuple[RecordedDeparture, ...] = ()
    """Recent departures of backend servers, in the order of the log."""
    uncommitted_departures: tuple[Departure, ...] = ()
    """Departures in entries that are not known to be committed."""
    caught_up: bool = False
    """Whether it contains all that was committed before this process started."""
    witness: LogWitness = NO_WITNESS
    """What the log contains, committed or not."""
    committed_voters: tuple[NodeId, ...] = ()
    """Voters of the last committed membership change, at ``members_index``."""
    leader: VmName = VmName("")
    """VM of the leader; empty if it isn't known."""
    leading_term: Term = Term(0)
    """Term in which this process leads; 0 if it doesn't."""
