"""Parse the load reports in the answers of backend servers."""

from __future__ import annotations

from dataclasses import dataclass

REQUIRED_FIGURES = 3
"""Figures that every load report has: running, waiting and slots."""

USUAL_PERCENT = 100
"""Fourth figure of a report while work takes as long as usual."""


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
    Figures after the required ones are ignored where they are unknown or malformed.
    """
    parts = [part.strip() for part in header.split(",")]
    required = parts[:REQUIRED_FIGURES]
    if len(required) < REQUIRED_FIGURES or not all(
        _is_count(part) for part in required
    ):
        return None
    running, waiting, slots = (int(part) for part in required)
    percent = parts[REQUIRED_FIGURES] if len(parts) > REQUIRED_FIGURES else ""
    slowdown = int(percent) / USUAL_PERCENT if _is_count(percent) else 0.0
    return LoadReport(running, waiting, slots, slowdown or 1.0)


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdecimal()
