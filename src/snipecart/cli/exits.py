"""Define the exit codes of the operators' commands."""

from __future__ import annotations

from enum import IntEnum


class Exit(IntEnum):
    """List the exit codes."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    TEXT_REFUSED = 3
    CONFLICT = 4
    UNREACHABLE = 5
    NOT_IN_FORCE = 6
