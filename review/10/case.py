"""Show that a process which gets SIGHUP while it starts ends by itself.

The edge machines are stopped and started in turn. The settings file of each changes
while its program starts, and SIGHUP says so.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

from ..standins2.fleet import BROKEN_STATUS
from ..standins2.fleet import CaseFailed
from ..standins2.fleet import Record
from ..standins2.fleet import running_fleet

if TYPE_CHECKING:
    from ..standins2.fleet import Fleet

EDGES = ("edge-1", "edge-2")
ROUNDS = 3

GRACE_SECONDS = 6.0
RESTART_SECONDS = 0.5
"""The short delay after which the platform starts a program again."""

CHANGE_SECONDS = 0.2
"""Time from the start of a program to the change of its settings file."""

WATCH_SECONDS = 2.0

MAX_ENDS = 3
"""Ends by itself of one machine's program from which it counts."""


def stop(fleet: Fleet, name: str) -> None:
    """Stop a program as the platform does: SIGTERM, and SIGKILL after the grace."""
    fleet.signal(name, signal.SIGTERM)
    try:
        fleet.processes[name].wait(GRACE_SECONDS)
    except subprocess.TimeoutExpired:
        fleet.signal(name, signal.SIGKILL)
        fleet.processes[name].wait()


def change_settings(fleet: Fleet, name: str, at: int) -> None:
    """Replace a settings file by one that has another field, and say so."""
    path = fleet.folder / f"{name}.toml"
    changed = path.with_suffix(".new")
    changed.write_text(f"revision = {at}\n{path.read_text()}")
    changed.replace(path)
    fleet.signal(name, signal.SIGHUP)


def play(fleet: Fleet, record: Record, trouble: bool) -> dict[str, int]:
    """Restart the machines in turn; return how often each program ended by itself."""
    ends = dict.fromkeys(EDGES, 0)
    fleet.await_ready(list(EDGES))
    for at in range(ROUNDS):
        for name in EDGES:
            stop(fleet, name)
            time.sleep(RESTART_SECONDS)
            fleet.start(name)
            time.sleep(CHANGE_SECONDS)
            if trouble:
                change_settings(fleet, name, at)
            time.sleep(WATCH_SECONDS)
            status = fleet.processes[name].poll()
            if status is not None:
                ends[name] += 1
                record.write(f"{name} has ended by itself with status {status}")
                time.sleep(RESTART_SECONDS)
                fleet.start(name)
            fleet.await_ready([name])
            # Later changes find the program running.
            change_settings(fleet, name, at + ROUNDS)
    time.sleep(WATCH_SECONDS)
    for name in EDGES:
        if fleet.processes[name].poll() is not None:
            ends[name] += 1
    record.write(f"ends by themselves: {ends}")
    return ends


def main() -> int:
    """Return the exit status of the case, which ``run.sh`` translates."""
    record = Record(Path(__file__).with_name("record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with running_fleet(record, len(EDGES), ("ledger",)) as fleet:
            ends = play(fleet, record, trouble)
    except (CaseFailed, OSError) as exc:
        record.write(f"case couldn't run: {exc!r}")
        return 2
    broken = sum(number >= MAX_ENDS for number in ends.values()) >= len(EDGES)
    return BROKEN_STATUS if broken else 0


if __name__ == "__main__":
    sys.exit(main())
