"""Hold what one control process knows of the log."""

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
from ...core.ids import UnixMillis
from ...core.registry import Registry
from ...core.states import Role
from . import timing
from .log import Log

if TYPE_CHECKING:
    from random import Random

    from ...messages.commands import Entry
    from ...messages.commands import Node
    from ...messages.raft import DiskBatch
    from ...messages.raft import DiskSnapshot


@dataclass(frozen=True)
class Tick:
    """Let time pass."""


@dataclass(frozen=True)
class Propose:
    """Append a command, if this process leads."""

    command: Any
    at: UnixMillis


@dataclass(frozen=True)
class Flush:
    """Send what was proposed to the followers."""


@dataclass(frozen=True)
class SyncCompletion:
    """Tell that the disk holds a term's vote and the log up to an index."""

    term: Term
    index: LogIndex
    index_term: int


@dataclass(frozen=True)
class Compact:
    """Keep the state up to the last applied index in place of entries."""

    state: bytes
    index: LogIndex


@dataclass(frozen=True)
class Send:
    """Send a message to a peer."""

    to: NodeId
    message: Any


@dataclass(frozen=True)
class SendAfterSync:
    """Send a message once everything persisted before it is synced."""

    to: NodeId
    message: Any


@dataclass(frozen=True)
class Persist:
    """Make a batch durable."""

    batch: DiskBatch


@dataclass(frozen=True)
class PersistSnapshot:
    """Make a snapshot durable and rewrite the log that follows it."""

    snapshot: DiskSnapshot
    rest: DiskBatch


@dataclass(frozen=True)
class Apply:
    """Apply committed entries in order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class Restore:
    """Replace the applied state by a snapshot's."""

    snapshot: DiskSnapshot


@dataclass(frozen=True)
class RoleChange:
    """Tell that this process changed its role."""

    role: Role
    term: Term


@dataclass(frozen=True)
class MembershipChange:
    """Tell that the log's members changed."""

    voters: tuple[Node, ...]
    learners: tuple[Node, ...]


Effect = Any
Handler = Callable[["RaftState", Any, Instant], list[Effect]]

HANDLERS: Registry[type[Any], Handler] = Registry("handlers of log messages")


@dataclass
class Progress:
    """Follow how far a peer's log matches the leader's."""

    match_index: LogIndex
    next_index: LogIndex
    confirmed: float = -1.0
    """Leader's clock, in seconds, when it sent the last request answered."""
    snapshot_sent_at: float = -1.0


@dataclass(frozen=True)
class Membership:
    """Hold who votes and learns from an index on."""

    index: LogIndex
    voters: tuple[Node, ...]
    learners: tuple[Node, ...]


@dataclass
class RaftState:
    """Hold the whole state of one process's part in the log."""

    node_id: NodeId
    rng: Random
    last_leader_contact: Instant
    term: Term = Term(0)
    voted_for: NodeId = NodeId("")
    log: Log = field(default_factory=Log)
    members: list[Membership] = field(default_factory=list)
    snapshot: DiskSnapshot | None = None
    commit: LogIndex = LogIndex(0)
    synced_index: LogIndex = LogIndex(0)
    role: Role = Role.FOLLOWER
    leader: NodeId = NodeId("")
    election_due: Instant = Instant(0.0)
    heartbeat_due: Instant = Instant(0.0)
    votes: set[NodeId] = field(default_factory=set)
    pre_voting: bool = False
    progress: dict[NodeId, Progress] = field(default_factory=dict)
    leader_since: Instant = Instant(0.0)
    term_start_index: LogIndex = LogIndex(0)
    open_to_vms: bool = False
    """Whether control processes on VMs that the log never named may join."""

    @property
    def voters(self) -> tuple[Node, ...]:
        """Return who votes now."""
        return self.members[-1].voters if self.members else ()

    @property
    def learners(self) -> tuple[Node, ...]:
        """Return who learns the log without a vote."""
        return self.members[-1].learners if self.members else ()

    @property
    def committed_membership(self) -> Membership:
        """Return the members that no later leader can take back."""
        committed = [item for item in self.members if item.index <= self.commit]
        return committed[-1] if committed else Membership(LogIndex(0), (), ())

    @property
    def voter_ids(self) -> set[NodeId]:
        """Return the ids of those who vote now."""
        return {node.node for node in self.voters}

    @property
    def peers(self) -> list[Node]:
        """Return everyone else who gets the log."""
        recipients = (*self.voters, *self.learners)
        return [node for node in recipients if node.node != self.node_id]

    def quorum_size(self) -> int:
        """Return how many voters decide."""
        return len(self.voters) // 2 + 1

    def has_quorum(self, nodes: set[NodeId]) -> bool:
        """Say whether some processes are a quorum of the voters."""
        return len(nodes & self.voter_ids) >= self.quorum_size()

    def reset_election_timer(self, now: Instant) -> None:
        """Put the next election off by a random span."""
        timeout = self.rng.uniform(
            timing.ELECTION_TIMEOUT_MIN, timing.ELECTION_TIMEOUT_MAX
        )
        self.election_due = Instant(now + timeout)

    def quorum_confirmed_at(self, now: Instant) -> float:
        """Return when a quorum last confirmed this leader, by its own clock."""
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
        """Say whether this process is sure to be the only leader now."""
        return (
            self.role is Role.LEADER
            and self.commit >= self.term_start_index
            and now < self.quorum_confirmed_at(now) + timing.LEASE_DURATION
        )


def step(state: RaftState, event: Any, now: Instant) -> list[Effect]:
    """Handle one event and return its effects in order.

    What this process sent to an earlier identity of its own VM comes back to it and
    is dropped.
    """
    if getattr(event, "leader", None) == state.node_id:
        return []
    if getattr(event, "candidate", None) == state.node_id:
        return []
    return HANDLERS.get(type(event))(state, event, now)
