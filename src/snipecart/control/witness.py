"""State what the log of a control process contains, for the gateways' proofs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.ids import LogIndex
from ..core.ids import RoutingVersion
from ..messages.commands import PutRouting
from ..messages.discovery import LogWitness

if TYPE_CHECKING:
    from .machine.state import MachineState
    from .raft.state import RaftState


def make_witness(state: RaftState, machine: MachineState, applied: int) -> LogWitness:
    """Return what a log contains, committed or not.

    ``applied`` is the index of the last entry that ``machine`` includes.
    """
    entries = state.log.entries_between(applied + 1, state.log.last_index)
    versions = [
        entry.command.version
        for entry in entries
        if isinstance(entry.command, PutRouting)
    ]
    memberships = state.memberships
    return LogWitness(
        state.node_id,
        RoutingVersion(max([machine.routing_version, *versions])),
        memberships[-1].index if memberships else LogIndex(0),
    )
