"""Implement Raft for the control processes, without any I/O."""

from __future__ import annotations

from . import election
from . import membership
from . import replication

__all__ = ["election", "membership", "replication"]
