"""Define the events that a Raft state handles, beside the messages of peers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from ...core.ids import LogIndex
    from ...core.ids import Term
    from ...core.ids import UnixMillis
    from ...core.states import DiskState


@dataclass(frozen=True)
class Tick:
    """Check the election and heartbeat timers."""


@dataclass(frozen=True)
class Propose:
    """Append a command to the log if this process is the leader."""

    command: Any
    at: UnixMillis


@dataclass(frozen=True)
class Flush:
    """Send the followers the entries that were appended since the last flush."""


@dataclass(frozen=True)
class SyncCompletion:
    """Report that the vote in ``term`` and the log up to ``index`` are durable.

    ``index_term`` is the term of the entry at ``index``, or -1 if no entry was synced.
    """

    term: Term
    index: LogIndex
    index_term: int


@dataclass(frozen=True)
class DiskStateChanged:
    """Report that the data folder can't be written, or can be written again."""

    disk: DiskState


@dataclass(frozen=True)
class Compact:
    """Replace the log up to an applied index by a snapshot of the applied state."""

    state: bytes
    index: LogIndex
