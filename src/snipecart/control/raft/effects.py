"""Define the effects that the handlers of Raft events return."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from ...core.ids import Millis
    from ...core.ids import NodeId
    from ...core.ids import Term
    from ...core.states import Role
    from ...messages.commands import Entry
    from ...messages.commands import Node
    from ...messages.raft import DiskBatch
    from ...messages.raft import DiskSnapshot
    from .quorum import Quorum


@dataclass(frozen=True)
class Send:
    """Send a message to a peer."""

    to: NodeId
    message: Any


@dataclass(frozen=True)
class SendAfterSync:
    """Send a message once every earlier effect for the disk is durable."""

    to: NodeId
    message: Any


@dataclass(frozen=True)
class Persist:
    """Make a batch durable in the log file."""

    batch: DiskBatch


@dataclass(frozen=True)
class PersistSnapshot:
    """Make a snapshot durable and replace the log file by the remaining entries."""

    snapshot: DiskSnapshot
    rest: DiskBatch


@dataclass(frozen=True)
class Apply:
    """Apply committed entries in order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class Restore:
    """Replace the applied state by the state in a snapshot."""

    snapshot: DiskSnapshot


@dataclass(frozen=True)
class RoleChange:
    """Report that this process became a leader or stopped being one."""

    role: Role
    term: Term


@dataclass(frozen=True)
class RemovedVoter:
    """Name a voter that was removed, and its silence if this process leads."""

    node: NodeId
    silence: Millis | None


@dataclass(frozen=True)
class MembershipChange:
    """Report the latest membership in the log, and how its voters have changed."""

    voters: tuple[Node, ...]
    learners: tuple[Node, ...]
    added: tuple[NodeId, ...]
    removed: tuple[RemovedVoter, ...]


@dataclass(frozen=True)
class ElectionFailed:
    """Report that a candidate got no quorum in time."""

    term: Term
    pre_vote: bool
    voters: tuple[NodeId, ...]
    granted: tuple[NodeId, ...]
    refused: tuple[NodeId, ...]
    silent: tuple[NodeId, ...]
    """Voters that neither granted nor refused their vote."""


@dataclass(frozen=True)
class QuorumChange:
    """Report a change of the voters that answer; None once it isn't known any more."""

    quorum: Quorum | None
