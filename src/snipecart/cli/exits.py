"""Name the exit codes of the operators' command."""

from __future__ import annotations

from enum import IntEnum


class Exit(IntEnum):
    """Say how a command ended."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    TEXT_REFUSED = 3
    CONFLICT = 4
    UNREACHABLE = 5
    NOT_IN_FORCE = 6
