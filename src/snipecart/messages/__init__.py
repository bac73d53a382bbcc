"""Declare the messages that the processes of the system exchange."""

from __future__ import annotations

from . import alive
from . import commands
from . import discovery
from . import members
from . import placement
from . import quota
from . import raft

__all__ = [
    "alive",
    "commands",
    "discovery",
    "members",
    "placement",
    "quota",
    "raft",
]
