"""Decide how an operator recovers a log that has lost its quorum for good."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from ..core.failures import AddressUnknown
from ..core.failures import LogCorrupt
from ..core.failures import NeverMember
from ..core.ids import LogIndex
from ..core.ids import NodeId
from ..core.ids import Term
from ..core.ids import UnixMillis
from ..core.ids import vm_of
from ..messages.commands import ChangeVoters
from ..messages.commands import Entry
from ..messages.commands import Node
from ..messages.raft import DiskBatch
from .factory import restore_machine
from .factory import restore_raft_state
from .machine.state import apply_entry
from .raft.log import LogGap
from .raft.replication import extract_memberships
from .raft.state import NOTHING_CUT

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from ..core.failures import Failure
    from ..core.ids import RoutingVersion
    from ..core.ids import TextVersion
    from ..core.ids import VmName
    from .disk.store import RecoveredState
    from .machine.state import MachineState
    from .raft.state import RaftState

RECOVERY_TERM_STEP = 1000
"""Terms by which a recovery raises the term.

More elections than the lost voters may have held without this process, so that the
recovered log has no entry of the same index and term as theirs.
"""


@dataclass(frozen=True)
class PeerAddress:
    """Store the address at which peers reach a control process."""

    host: str
    port: int


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
    """Versions with the entries after ``commit``, which a recovery commits."""
    torn: bool
    """Whether an incomplete record at the end will be removed."""

    @property
    def position(self) -> tuple[Term, LogIndex]:
        """Return the term and index by which an election compares logs."""
        return self.last_term, self.last_index


@dataclass(frozen=True)
class RecoveryPlan:
    """Describe what a recovery changes, and the batch that does it."""

    voter: Node
    """Only voter of the recovered log."""
    removed_voters: tuple[Node, ...]
    removed_learners: tuple[Node, ...]
    commit: LogIndex
    last_index: LogIndex
    """Entries after ``commit`` up to this one become committed."""
    batch: DiskBatch


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


def plan_recovery(
    recovered: RecoveredState, stated: PeerAddress | None = None
) -> Result[RecoveryPlan, Failure]:
    """Make the process of a data folder the only voter of its log.

    It is reached at the stated address, or else at the one in the last membership.
    Fail with LogCorrupt, NeverMember or AddressUnknown.
    """
    return _restore(recovered).bind(lambda state: _plan(recovered, state, stated))


def _plan(
    recovered: RecoveredState, state: RaftState, stated: PeerAddress | None
) -> Result[RecoveryPlan, Failure]:
    if state.node_id not in _list_past_members(recovered):
        return Error(NeverMember(state.node_id))
    address = stated or _find_address(state)
    if address is None:
        return Error(AddressUnknown(state.node_id))
    voter = Node(state.node_id, vm_of(state.node_id), address.host, address.port)
    return Ok(
        RecoveryPlan(
            voter,
            _others(state.voters, voter),
            _others(state.learners, voter),
            state.commit,
            state.log.last_index,
            _make_batch(recovered, state, voter),
        )
    )


def _list_past_members(recovered: RecoveredState) -> set[NodeId]:
    """Return all members in any membership that the folder still has."""
    nodes: list[Node] = []
    if recovered.snapshot is not None:
        nodes += (*recovered.snapshot.voters, *recovered.snapshot.learners)
    for entry in recovered.entries:
        for membership in extract_memberships(entry):
            nodes += (*membership.voters, *membership.learners)
    return {node.node for node in nodes}


def _find_address(state: RaftState) -> PeerAddress | None:
    for node in (*state.voters, *state.learners):
        if node.node == state.node_id:
            return PeerAddress(node.host, node.port)
    return None


def _others(nodes: tuple[Node, ...], voter: Node) -> tuple[Node, ...]:
    return tuple(node for node in nodes if node.node != voter.node)


def _make_batch(recovered: RecoveredState, state: RaftState, voter: Node) -> DiskBatch:
    """Return the batch that appends the membership, as a leader of its term would.

    The process has voted for itself in that term, so that it elects no other leader.
    """
    term = Term(max(state.term, state.log.last_term) + RECOVERY_TERM_STEP)
    index = LogIndex(state.log.last_index + 1)
    entry = Entry(index, term, UnixMillis(0), ChangeVoters((voter,), ()))
    return DiskBatch(
        term, state.node_id, _first_stale_index(recovered), (entry,), state.commit
    )


def _first_stale_index(recovered: RecoveredState) -> LogIndex:
    """Return the first index of entries on disk that all end before the snapshot.

    They are removed, as the new entry follows the snapshot and not them.
    """
    snapshot, entries = recovered.snapshot, recovered.entries
    if snapshot is None or not entries or entries[-1].index >= snapshot.index:
        return NOTHING_CUT
    return entries[0].index
