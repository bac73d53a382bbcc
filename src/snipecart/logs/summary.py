"""Summarize the requests in logs by second and by route, and list other events."""

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

REQUEST_END_EVENTS = frozenset({REQUEST_ENDED.number, CLIENT_DISCONNECTED.number})

ANSWERED = "answered"

LISTED_LEVELS = frozenset({"NOTICE", "WARNING", "ERROR", "CRITICAL"})
"""Log levels of the events that a summary lists."""


@dataclass
class RequestStats:
    """Count the requests of one route or one second by outcome."""

    ends: Counter[str] = field(default_factory=Counter)
    """Number of requests by outcome: ``answered``, or the reason of the failure."""
    answered_ms: list[int] = field(default_factory=list)
    """Latency of each answer in milliseconds."""

    def quantile_ms(self, quantile: float) -> int:
        """Return a quantile of the latency in milliseconds, 0 without any answers."""
        times = sorted(self.answered_ms)
        return times[min(len(times) - 1, int(quantile * len(times)))] if times else 0


@dataclass
class LogSummary:
    """Store the requests and the other events of a period."""

    started_at: int = 0
    """Unix time of the first line, in whole seconds."""
    ends_by_second: dict[int, Counter[str]] = field(default_factory=dict)
    """Number of requests by outcome, for each second since ``started_at``."""
    stats_by_second: dict[int, RequestStats] = field(default_factory=dict)
    """Requests of all routes, for each second since ``started_at``."""
    stats_by_route: dict[str, RequestStats] = field(default_factory=dict)
    """Requests of the whole period, for each route by name."""
    events: list[LogLine] = field(default_factory=list)
    """Events of the listed log levels, in order of time."""

    def outcomes(self) -> list[str]:
        """Return all outcomes of requests, the most frequent first."""
        total: Counter[str] = Counter()
        for ends in self.ends_by_second.values():
            total.update(ends)
        return [outcome for outcome, _ in total.most_common()]


def summarize_lines(lines: Iterable[LogLine]) -> LogSummary:
    """Return the summary of events, which may come in any order."""
    ordered = sorted(lines, key=lambda line: line.at)
    summary = LogSummary(int(ordered[0].at) if ordered else 0)
    for line in ordered:
        if line.event in REQUEST_END_EVENTS:
            _add_request(summary, line)
        elif line.fields.get("level") in LISTED_LEVELS:
            summary.events.append(line)
    return summary


def _add_request(summary: LogSummary, line: LogLine) -> None:
    second = int(line.at) - summary.started_at
    end = str(line.fields.get("reason", ANSWERED))
    summary.ends_by_second.setdefault(second, Counter())[end] += 1
    name = str(line.fields.get("route", ""))
    for stats in (
        summary.stats_by_route.setdefault(name, RequestStats()),
        summary.stats_by_second.setdefault(second, RequestStats()),
    ):
        stats.ends[end] += 1
        if end == ANSWERED:
            stats.answered_ms.append(int(line.fields.get("ms", 0)))
