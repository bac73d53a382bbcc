"""Store the entries of the log that are in memory."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from itertools import accumulate
from typing import TYPE_CHECKING

from ...core.ids import LogIndex
from ...core.message import payload_size

if TYPE_CHECKING:
    from ...messages.commands import Entry


def _count_fitting(entries: list[Entry], max_bytes: int) -> int:
    """Return how many of the first entries have at most ``max_bytes`` together."""
    sizes = accumulate(payload_size(entry.command) for entry in entries)
    return sum(size <= max_bytes for size in sizes)


class LogGap(Exception):
    """Report an entry whose index does not follow the last index of the log."""


@dataclass
class Log:
    """Store the entries that follow a base index.

    The base is the last discarded entry; only its index and term are kept.
    """

    base: LogIndex = LogIndex(0)
    base_term: int = 0
    entries: list[Entry] = field(default_factory=list)

    @property
    def last_index(self) -> LogIndex:
        """Return the index of the last entry, or the base if there is none."""
        return LogIndex(self.base + len(self.entries))

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or of the base if there is none."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index, or None if it is not in memory."""
        if index == self.base:
            return self.base_term
        if self.base < index <= self.last_index:
            return self.entries[index - self.base - 1].term
        return None

    def after(self, index: int, limit: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return at most ``limit`` entries that follow an index.

        All but the first one must fit into ``max_bytes``.
        """
        start = index - self.base
        entries = self.entries[start : start + limit]
        return tuple(entries[: max(1, _count_fitting(entries, max_bytes))])

    def compact(self, index: int, max_entries: int, max_bytes: int) -> None:
        """Discard the entries up to an index but for the last of them.

        Keep at most ``max_entries``, of at most ``max_bytes`` together.
        """
        end = index - self.base
        last_first = self.entries[max(0, end - max_entries) : end][::-1]
        self.discard_up_to(index - _count_fitting(last_first, max_bytes))

    def entries_between(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        return tuple(self.entries[first - self.base - 1 : last - self.base])

    def append(self, entry: Entry) -> None:
        """Append an entry; raise LogGap if its index does not follow the last one."""
        if entry.index != self.last_index + 1:
            raise LogGap(f"{entry.index} does not follow index {self.last_index}")
        self.entries.append(entry)

    def cut_from(self, index: int) -> None:
        """Remove the entry at an index and all later ones."""
        del self.entries[index - self.base - 1 :]

    def discard_up_to(self, index: int) -> None:
        """Remove the entries up to an index, which becomes the base."""
        term = self.term_at(index)
        if term is None or index <= self.base:
            return
        del self.entries[: index - self.base]
        self.base, self.base_term = LogIndex(index), term
