"""Define the Raft state of one control process, and pass events to their handlers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from ...core.ids import Instant
from ...core.ids import LogIndex
from ...core.ids import NodeId
from ...core.ids import Term
from ...core.registry import Registry
from ...core.states import DiskState
from ...core.states import Role
from ...messages.raft import DiskBatch
from ...messages.raft import sender_of
from . import timing
from .log import Log

if TYPE_CHECKING:
    from random import Random

    from ...core.ids import VmName
    from ...messages.commands import Entry
    from ...messages.commands import Node
    from ...messages.raft import DiskSnapshot
    from ...messages.raft import SilentVoter
    from .effects import ElectionFailed
    from .quorum import Quorum


NOTHING_CUT = LogIndex(0)
"""``cut_from`` of a batch that removes no entries."""


Effect = Any
Handler = Callable[["RaftState", Any, Instant], list[Effect]]

HANDLERS: Registry[type[Any], Handler] = Registry("handlers of Raft events")


@dataclass
class Progress:
    """Track the replication of the leader's log to one peer."""

    match_index: LogIndex
    """Last index up to which the peer's durable log is known to match."""
    next_index: LogIndex
    """First index of the next append request to the peer."""
    confirmed: float = -1.0
    """Send time of the latest request that the peer answered, in seconds on the
    leader's clock; -1 if it answered none."""
    snapshot_sent_at: float = -1.0
    """Time at which a snapshot was last sent, in seconds on the leader's clock."""


@dataclass(frozen=True)
class CatchUpPoint:
    """Store what the first request from a leader stated."""

    term: Term
    sent: int
    """Time at which it was sent, in microseconds of the leader's clock."""
    commit: LogIndex


@dataclass(frozen=True)
class Membership:
    """Store the voters and learners that apply from a log index on."""

    index: LogIndex
    voters: tuple[Node, ...]
    learners: tuple[Node, ...]


@dataclass
class RaftState:
    """Store the Raft state of one control process."""

    node_id: NodeId
    rng: Random
    last_leader_contact: Instant
    """Time of the last valid request from a leader."""
    term: Term = Term(0)
    voted_for: NodeId = NodeId("")
    log: Log = field(default_factory=Log)
    memberships: list[Membership] = field(default_factory=list)
    """Memberships in log order; the last one is in use, even if uncommitted."""
    snapshot: DiskSnapshot | None = None
    commit: LogIndex = LogIndex(0)
    """Index of the last entry known to be committed."""
    caught_up: bool = False
    """Whether all entries that were committed before this process started are known
    here to be committed."""
    catch_up_point: CatchUpPoint | None = None
    """First request of the latest leader since the start, until caught up."""
    persisted_commit: LogIndex = LogIndex(0)
    """Value of ``commit`` in the last batch for the disk."""
    persist_commit_due: Instant = Instant(0.0)
    """When a newer ``commit`` may go to the disk in a batch of its own."""
    synced_index: LogIndex = LogIndex(0)
    """Index of the last entry that is durable on this process's disk."""
    disk: DiskState = DiskState.WRITABLE
    """While it is blocked, this process neither leads, votes nor takes entries."""
    role: Role = Role.FOLLOWER
    leader: NodeId = NodeId("")
    """Leader of the current term; empty if unknown."""
    election_due: Instant = Instant(0.0)
    heartbeat_due: Instant = Instant(0.0)
    votes: set[NodeId] = field(default_factory=set)
    """Nodes that granted their vote or pre-vote in the current election."""
    refusals: set[NodeId] = field(default_factory=set)
    """Nodes that refused their vote or pre-vote in the current election."""
    pre_voting: bool = False
    failed_election: ElectionFailed | None = None
    """Latest election without a quorum since this process knew a leader."""
    progress: dict[NodeId, Progress] = field(default_factory=dict)
    """Replication progress by peer; used while this process is the leader."""
    reported_quorum: Quorum | None = None
    """Quorum in the latest QuorumChange."""
    leader_since: Instant = Instant(0.0)
    led_until: Instant = Instant(0.0)
    """Time at which this process last ceased to be the leader."""
    term_start_index: LogIndex = LogIndex(0)
    """Index of the first entry of this leader's own term."""
    open_to_vms: bool = False
    """Whether control processes on VMs without a voter in the log may join."""
    last_seen: dict[NodeId, Instant] = field(default_factory=dict)
    """Time of the last sign of life of each other voter, as far as known here."""
    quorum_answered: int = 0
    """Time of the latest request that a quorum had answered at the last tick, in
    microseconds of this process's clock; used while it leads."""
    silent_voters: tuple[SilentVoter, ...] = ()
    """Voters that were silent at the last tick; used while this process leads."""
    waiting_joiners: dict[VmName, Node] = field(default_factory=dict)
    """Nodes that this leader adds once it may change the membership."""

    @property
    def voters(self) -> tuple[Node, ...]:
        """Return the current voters."""
        return self.memberships[-1].voters if self.memberships else ()

    @property
    def learners(self) -> tuple[Node, ...]:
        """Return the current learners, which receive the log but do not vote."""
        return self.memberships[-1].learners if self.memberships else ()

    @property
    def committed_membership(self) -> Membership:
        """Return the last committed membership, which no later leader can revert."""
        committed = [item for item in self.memberships if item.index <= self.commit]
        return committed[-1] if committed else Membership(LogIndex(0), (), ())

    @property
    def voter_ids(self) -> set[NodeId]:
        """Return the ids of the current voters."""
        return {node.node for node in self.voters}

    @property
    def peers(self) -> list[Node]:
        """Return the other voters and learners."""
        recipients = (*self.voters, *self.learners)
        return [node for node in recipients if node.node != self.node_id]

    def make_batch(
        self,
        entries: tuple[Entry, ...] = (),
        cut_from: LogIndex = NOTHING_CUT,
    ) -> DiskBatch:
        """Return a batch for the disk with the current term, vote and commit index."""
        self.persisted_commit = self.commit
        return DiskBatch(self.term, self.voted_for, cut_from, entries, self.commit)

    def quorum_size(self) -> int:
        """Return the number of voters that form a quorum."""
        return len(self.voters) // 2 + 1

    def has_quorum(self, nodes: set[NodeId]) -> bool:
        """Return whether the nodes include a quorum of the voters."""
        return len(nodes & self.voter_ids) >= self.quorum_size()

    def reset_election_timer(self, now: Instant) -> None:
        """Set the next election after a random timeout."""
        timeout = self.rng.uniform(
            timing.ELECTION_TIMEOUT_MIN, timing.ELECTION_TIMEOUT_MAX
        )
        self.election_due = Instant(now + timeout)

    def quorum_confirmed_at(self, now: Instant) -> float:
        """Return the latest time at which a quorum still followed this leader.

        In seconds on the leader's clock; -1 if no quorum answered yet.
        """
        times = [
            now if node.node == self.node_id else self._peer_confirmed_at(node.node)
            for node in self.voters
        ]
        times.sort(reverse=True)
        return (
            times[self.quorum_size() - 1] if len(times) >= self.quorum_size() else -1.0
        )

    def _peer_confirmed_at(self, node: NodeId) -> float:
        peer = self.progress.get(node)
        return peer.confirmed if peer else -1.0

    def has_leader_lease(self, now: Instant) -> bool:
        """Return whether this process holds the leader lease.

        While it does, no other process can become leader, and every entry committed
        in an earlier term is known here to be committed.
        """
        return (
            self.role is Role.LEADER
            and self.commit >= self.term_start_index
            and now < self.quorum_confirmed_at(now) + timing.LEASE_DURATION
        )


def step(state: RaftState, event: Any, now: Instant) -> list[Effect]:
    """Handle one event and return its effects in order.

    Messages are addressed by VM, so a request that this process sends to an earlier
    identity of its own VM arrives here again; it is ignored.
    """
    if sender_of(event) == state.node_id:
        return []
    return HANDLERS.get(type(event))(state, event, now)
