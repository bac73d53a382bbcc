"""Parse the load reports in the answers of backend servers."""

from __future__ import annotations

from dataclasses import dataclass

from ..core.numbers import parse_count

REQUIRED_FIGURES = 3
"""Figures that every load report has: running, waiting and slots."""

USUAL_PERCENT = 100
"""Fourth figure of a report while work takes as long as usual."""

MAX_PERCENT = 10_000
"""Highest fourth figure that is believed."""


@dataclass(frozen=True)
class LoadReport:
    """Store what a backend server reports about its load."""

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
    """Ratio of the time that work takes at this moment to its usual time."""


def parse_load_report(header: str) -> LoadReport | None:
    """Parse ``running,waiting,slots`` with optional further figures.

    The fourth figure is the time that work takes, in percent of the usual time.
    Figures after the required ones are ignored where they are unknown or malformed. A
    report with a malformed required figure, or one of too many digits, is None.
    """
    parts = [part.strip() for part in header.split(",")]
    if len(parts) < REQUIRED_FIGURES:
        return None
    running, waiting, slots = (parse_count(part) for part in parts[:REQUIRED_FIGURES])
    if running is None or waiting is None or slots is None:
        return None
    percent = parts[REQUIRED_FIGURES] if len(parts) > REQUIRED_FIGURES else ""
    slowdown = parse_count(percent) or USUAL_PERCENT
    if slowdown > MAX_PERCENT:
        slowdown = USUAL_PERCENT
    return LoadReport(running, waiting, slots, slowdown / USUAL_PERCENT)
