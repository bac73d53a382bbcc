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
class Seen:
    """Hold one operation that ended with a version."""

    began: float
    ended: float
    version: int
    base: int | None = None
    """The base of an accepted submission; None for a read."""


@dataclass
class History:
    """Record operations of several threads."""

    seen: list[Seen] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def note(self, began: float, version: int, base: int | None = None) -> None:
        """Add an operation that has just ended."""
        with self._lock:
            self.seen.append(Seen(began, time.monotonic(), version, base))

    def check(self) -> None:
        """Raise NotLinearizable where the history is not."""
        by_end = sorted(self.seen, key=lambda one: one.ended)
        by_start = sorted(self.seen, key=lambda one: one.began)
        newest, at = 0, 0
        for one in by_start:
            while at < len(by_end) and by_end[at].ended < one.began:
                newest = max(newest, by_end[at].version)
                at += 1
            least = newest if one.base is None else newest + 1
            if one.version < least:
                raise NotLinearizable(f"{one} after version {newest}")
        self._check_bases()

    def _check_bases(self) -> None:
        writes = sorted(
            (one for one in self.seen if one.base is not None),
            key=lambda one: one.version,
        )
        for before, after in zip(writes, writes[1:], strict=False):
            if after.version == before.version or after.base < before.version:
                raise NotLinearizable(f"{after} does not follow {before}")
        for read in self.seen:
            known = {one.version for one in writes} | {one.base for one in writes}
            if read.base is None and read.version and read.version not in known:
                raise NotLinearizable(f"{read} was never written")
