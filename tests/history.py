"""Check recorded histories of the accepted text for linearizability.

Versions only grow, so a history is linearizable exactly if no operation sees an older
version than one that ended before it began, and each accepted text follows its base.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from dataclasses import field


class NotLinearizable(AssertionError):
    """Report a history that no order of its operations explains."""


@dataclass(frozen=True)
class Operation:
    """Hold one operation that ended with a version."""

    started: float
    ended: float
    version: int
    base: int | None = None
    """The base of an accepted submission; None for a read."""


@dataclass
class History:
    """Record operations of several threads."""

    operations: list[Operation] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def record(self, started: float, version: int, base: int | None = None) -> None:
        """Add an operation that has just ended."""
        with self._lock:
            self.operations.append(Operation(started, time.monotonic(), version, base))

    def check(self) -> None:
        """Raise NotLinearizable where the history is not."""
        by_end = sorted(self.operations, key=lambda operation: operation.ended)
        by_start = sorted(self.operations, key=lambda operation: operation.started)
        newest, index = 0, 0
        for operation in by_start:
            while index < len(by_end) and by_end[index].ended < operation.started:
                newest = max(newest, by_end[index].version)
                index += 1
            minimum = newest if operation.base is None else newest + 1
            if operation.version < minimum:
                raise NotLinearizable(f"{operation} after version {newest}")
        self._check_bases()

    def _check_bases(self) -> None:
        writes = sorted(
            (operation for operation in self.operations if operation.base is not None),
            key=lambda operation: operation.version,
        )
        for before, after in zip(writes, writes[1:], strict=False):
            if after.version == before.version or after.base < before.version:
                raise NotLinearizable(f"{after} does not follow {before}")
        for read in self.operations:
            written = {operation.version for operation in writes} | {
                operation.base for operation in writes
            }
            if read.base is None and read.version and read.version not in written:
                raise NotLinearizable(f"{read} was never written")
