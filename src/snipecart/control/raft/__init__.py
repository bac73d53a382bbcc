"""Decide how control processes agree on one log, apart from sockets and disks."""

from __future__ import annotations

from . import election
from . import membership
from . import replication

__all__ = ["election", "membership", "replication"]
