"""Declare the messages that the processes of the system exchange."""

from __future__ import annotations

from . import commands
from . import discovery
from . import members
from . import raft

__all__ = ["commands", "discovery", "members", "raft"]
