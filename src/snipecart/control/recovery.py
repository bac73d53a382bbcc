"""Compare the logs of control processes that do not run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from ..core.failures import LogCorrupt
from ..core.ids import Term
from ..core.ids import VmName
from .factory import restore_machine
from .factory import restore_raft_state
from .machine.state import apply_entry
from .raft.log import LogGap

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from ..core.failures import Failure
    from ..core.ids import LogIndex
    from ..core.ids import NodeId
    from ..core.ids import RoutingVersion
    from ..core.ids import TextVersion
    from ..messages.commands import Node
    from .disk.store import RecoveredState
    from .machine.state import MachineState
    from .raft.state import RaftState


@dataclass(frozen=True)
class StoredVersions:
    """Store the versions of the configuration and the routing table."""

    configuration: TextVersion
    routing: RoutingVersion


@dataclass(frozen=True)
class LogSummary:
    """Describe the log in the data folder of a process that doesn't run."""

    node: NodeId
    vm: VmName
    term: Term
    last_index: LogIndex
    last_term: Term
    commit: LogIndex
    """Index up to which entries are known here to be committed."""
    voters: tuple[Node, ...]
    learners: tuple[Node, ...]
    committed: StoredVersions
    latest: StoredVersions
    """Versions with the entries after ``commit``."""
    torn: bool
    """Whether an incomplete record at the end follows the log."""

    @property
    def position(self) -> tuple[Term, LogIndex]:
        """Return the term and index by which an election compares logs."""
        return self.last_term, self.last_index


def vm_of(node: NodeId) -> VmName:
    """Return the VM on whose disk a node id was stored first."""
    return VmName(node.partition("/")[0])


def summarize_log(recovered: RecoveredState) -> Result[LogSummary, Failure]:
    """Describe a log that was read from disk; fail with LogCorrupt."""
    return _restore(recovered).map(lambda state: _summarize(recovered, state))


def _restore(recovered: RecoveredState) -> Result[RaftState, Failure]:
    try:
        return Ok(restore_raft_state(recovered, seed=0))
    except LogGap as exc:
        return Error(LogCorrupt(str(exc)))


def _summarize(recovered: RecoveredState, state: RaftState) -> LogSummary:
    last_index = state.log.last_index
    machine = restore_machine(state)
    committed = _stored_versions(machine)
    for entry in state.log.entries_between(state.commit + 1, last_index):
        apply_entry(machine, entry)
    return LogSummary(
        state.node_id,
        vm_of(state.node_id),
        state.term,
        last_index,
        Term(state.log.last_term),
        state.commit,
        state.voters,
        state.learners,
        committed,
        _stored_versions(machine),
        recovered.torn_at is not None,
    )


def _stored_versions(machine: MachineState) -> StoredVersions:
    return StoredVersions(machine.version, machine.routing_version)


def select_newest(summaries: Mapping[Path, LogSummary]) -> tuple[Path, ...]:
    """Return the folders with the newest log by the rule of an election.

    Several folders have the newest log if their last entries are the same.
    """
    newest = max((item.position for item in summaries.values()), default=None)
    return tuple(path for path, item in summaries.items() if item.position == newest)
