"""Run one soak by its seed, and report what it did and found."""

from __future__ import annotations

import threading
import time
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import TYPE_CHECKING

from .checks import CHECKS
from .control_faults import FAULTS
from .history import Ending
from .world import DEFAULT_NET
from .world import running_world

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from .history import History
    from .world import World

PAUSE_SECONDS = 1.5
"""Mean time between two faults."""

ALL_FAULTS = tuple(FAULTS)

MAX_AT_ONCE = 6
MAX_SHOWN = 5
"""Violations of a check that the report shows."""


@dataclass
class Report:
    """Store what one soak did and found."""

    seed: int
    faults: Counter[str] = field(default_factory=Counter)
    """Faults that were started; those that found no free process did nothing."""
    disturbances: Counter[str] = field(default_factory=Counter)
    """What processes suffered."""
    violations: dict[str, list[str]] = field(default_factory=dict)
    endings: Counter[str] = field(default_factory=Counter)
    runs: int = 0
    changes: int = 0

    @property
    def passed(self) -> bool:
        """Return whether no check found a violation."""
        return not any(self.violations.values())

    def lines(self) -> list[str]:
        """Return the report as text."""
        lines = [
            f"seed {self.seed}: {'passed' if self.passed else 'FAILED'},"
            f" {self.runs} runs, {self.changes} changes,"
            f" {dict(sorted(self.endings.items()))}"
        ]
        lines += [f"  fault {name}: {n}" for name, n in sorted(self.faults.items())]
        lines += [
            f"  {name}: {n} times" for name, n in sorted(self.disturbances.items())
        ]
        for name, found in self.violations.items():
            lines.append(f"  check {name}: {len(found)} violations")
            lines += [f"    {line}" for line in found[:MAX_SHOWN]]
        return lines


def soak(
    seed: int,
    seconds: float,
    folder: Path,
    controls: int = 3,
    gateways: int = 3,
    net: str = DEFAULT_NET,
    faults: Sequence[str] = ALL_FAULTS,
) -> Report:
    """Run one soak with some kinds of faults, and check its history."""
    rng, report = Random(seed), Report(seed)
    with running_world(folder, rng, controls, gateways, net) as world:
        _inject_faults(world, rng, seconds, faults, report)
    history: History = world.recorder.history
    report.violations = {name: list(CHECKS.get(name)(history)) for name in CHECKS}
    report.endings.update(_describe(history))
    report.disturbances.update(
        item.fault.partition(" control-")[0] for item in history.disturbances
    )
    report.runs, report.changes = len(history.runs), len(history.changes)
    return report


def _describe(history: History) -> list[str]:
    return [
        str(item.status) if item.ending is Ending.ANSWERED else item.ending
        for item in history.attempts
    ]


def _inject_faults(
    world: World, rng: Random, seconds: float, faults: Sequence[str], report: Report
) -> None:
    """Start faults at random, several at once, and wait until all are over."""
    end = time.monotonic() + seconds
    active: list[threading.Thread] = []
    while time.monotonic() < end:
        time.sleep(rng.expovariate(1 / PAUSE_SECONDS))
        active = [thread for thread in active if thread.is_alive()]
        if len(active) >= MAX_AT_ONCE:
            continue
        name = rng.choice(faults)
        report.faults[name] += 1
        thread = threading.Thread(
            target=FAULTS.get(name), args=(world, Random(rng.random())), daemon=True
        )
        thread.start()
        active.append(thread)
    for thread in active:
        thread.join(60)
