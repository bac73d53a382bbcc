"""Implement Raft for the control processes, without any I/O."""

from __future__ import annotations

from . import election
from . import membership
from . import replication
from . import snapshots

__all__ = ["election", "membership", "replication", "snapshots"]
