"""Check recorded histories of the accepted configuration for linearizability.

Versions only increase. A history is therefore linearizable if and only if no operation
returns an older version than an operation that ended before it started, and each
accepted configuration directly follows its base.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from dataclasses import field


class NotLinearizable(AssertionError):
    """Report a history that no sequential order of its operations explains."""


@dataclass(frozen=True)
class Operation:
    """Store an operation that returned a version; times are monotonic, in seconds."""

    started: float
    ended: float
    version: int
    base: int | None = None
    """Base version of an accepted submission; None for a read."""


@dataclass
class History:
    """Record the operations of several threads."""

    operations: list[Operation] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def record(self, started: float, version: int, base: int | None = None) -> None:
        """Record an operation that ends now."""
        with self._lock:
            self.operations.append(Operation(started, time.monotonic(), version, base))

    def check(self) -> None:
        """Raise NotLinearizable if the history is not linearizable."""
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
