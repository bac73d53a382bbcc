"""Sum up logs by second: load, refusals by reason, latency, and what changed."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..core.events import CLIENT_DISCONNECTED
from ..core.events import REQUEST_ENDED

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .lines import LogLine

ENDED = frozenset({REQUEST_ENDED.number, CLIENT_DISCONNECTED.number})

ANSWERED = "answered"

LISTED = frozenset({"NOTICE", "WARNING", "ERROR", "CRITICAL"})
"""Levels whose events a report lists."""


@dataclass
class RouteTally:
    """Hold the requests of one route."""

    ends: Counter[str] = field(default_factory=Counter)
    answered_ms: list[int] = field(default_factory=list)

    def quantile_ms(self, part: float) -> int:
        """Return the time within which a part of the answers came; 0 without any."""
        times = sorted(self.answered_ms)
        return times[min(len(times) - 1, int(part * len(times)))] if times else 0


@dataclass
class Tally:
    """Hold what happened in a stretch of logs."""

    begin: int = 0
    """Unix seconds of the first line."""
    seconds: dict[int, Counter[str]] = field(default_factory=dict)
    """Ends of requests by second from the begin."""
    times: dict[int, RouteTally] = field(default_factory=dict)
    """Answers of all routes by second."""
    routes: dict[str, RouteTally] = field(default_factory=dict)
    events: list[LogLine] = field(default_factory=list)

    def reasons(self) -> list[str]:
        """Return every way in which requests ended, the most frequent first."""
        total: Counter[str] = Counter()
        for ends in self.seconds.values():
            total.update(ends)
        return [reason for reason, _ in total.most_common()]


def tally_lines(lines: Iterable[LogLine]) -> Tally:
    """Sum up events in any order of their sources."""
    ordered = sorted(lines, key=lambda line: line.at)
    tally = Tally(int(ordered[0].at) if ordered else 0)
    for line in ordered:
        if line.event in ENDED:
            _note_request(tally, line)
        elif line.fields.get("level") in LISTED:
            tally.events.append(line)
    return tally


def _note_request(tally: Tally, line: LogLine) -> None:
    second = int(line.at) - tally.begin
    end = str(line.fields.get("reason", ANSWERED))
    tally.seconds.setdefault(second, Counter())[end] += 1
    name = str(line.fields.get("route", ""))
    for part in (
        tally.routes.setdefault(name, RouteTally()),
        tally.times.setdefault(second, RouteTally()),
    ):
        part.ends[end] += 1
        if end == ANSWERED:
            part.answered_ms.append(int(line.fields.get("ms", 0)))
