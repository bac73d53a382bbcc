"""Declare what the system's processes tell each other."""

from __future__ import annotations

from . import commands
from . import discovery
from . import members
from . import raft

__all__ = ["commands", "discovery", "members", "raft"]
