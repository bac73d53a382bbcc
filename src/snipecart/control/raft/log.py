"""Hold the part of the log that is in memory."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ...core.ids import LogIndex

if TYPE_CHECKING:
    from ...messages.commands import Entry


class LogGap(Exception):
    """Report entries that do not follow the log's last one."""


@dataclass
class Log:
    """Hold the entries after a base, whose index and term are known."""

    base: LogIndex = LogIndex(0)
    base_term: int = 0
    entries: list[Entry] = field(default_factory=list)

    @property
    def last_index(self) -> LogIndex:
        """Return the index of the last entry."""
        return LogIndex(self.base + len(self.entries))

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or None outside the log."""
        if index == self.base:
            return self.base_term
        if self.base < index <= self.last_index:
            return self.entries[index - self.base - 1].term
        return None

    def after(self, index: int, limit: int) -> tuple[Entry, ...]:
        """Return up to ``most`` entries that follow an index."""
        start = index - self.base
        return tuple(self.entries[start : start + limit])

    def entries_between(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return the entries from ``first`` up to ``last``, both included."""
        return tuple(self.entries[first - self.base - 1 : last - self.base])

    def append(self, entry: Entry) -> None:
        """Add an entry after the last one."""
        if entry.index != self.last_index + 1:
            raise LogGap(f"{entry.index} after {self.last_index}")
        self.entries.append(entry)

    def cut_from(self, index: int) -> None:
        """Drop the entries from an index on."""
        del self.entries[index - self.base - 1 :]

    def discard_before(self, index: int) -> None:
        """Drop the entries before an index, which becomes the base."""
        term = self.term_at(index)
        if term is None or index <= self.base:
            return
        del self.entries[: index - self.base]
        self.base, self.base_term = LogIndex(index), term
