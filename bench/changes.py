"""Measure the time until a change is in force, and a restart after hundreds of changes.

Targets: at most 2 s at p99 from the submission until all members of a fleet of today's
size use the change. After 500 changes, a killed control process and a killed entry
process use the newest configuration at most 10 s after their restart.
"""

from __future__ import annotations

import json
import sys
import tempfile
import time
from pathlib import Path

import click
import urllib3

from bench.fleet import EXAMPLE_CONFIGURATION
from bench.fleet import Fleet
from bench.fleet import running_fleet
from bench.fleet import wait_for

MAX_IN_FORCE_S = 2.0
MAX_RESTART_S = 10.0


def text_versions(fleet: Fleet) -> list[int]:
    """Return the configuration version in use by each entry process; 0 if unknown."""
    pages = [fleet.get_page(name, "/status") for name in fleet.list_processes("entry")]
    return [page["text_version"] if page else 0 for page in pages]


def submit_change(fleet: Fleet, leader: str, base: int, number: int) -> int:
    """Submit a changed configuration to the leader and return its version."""
    text = json.loads(Path(EXAMPLE_CONFIGURATION).read_text())
    text["services"][0]["kinds"][0]["deadline_ms"] = 1000 + number
    cfg = fleet.read_settings(leader)
    url = f"http://{cfg['host']}:{cfg['http_port']}/submit"
    query = f"?base={base}&submission=c{number}"
    answer = urllib3.request("POST", url + query, body=json.dumps(text), retries=False)
    return answer.json()["version"]


def measure_restart(fleet: Fleet, version: int) -> float:
    """Kill and restart a follower and an entry process.

    Return the seconds until both have the given version of the configuration.
    """
    follower = next(
        name for name in fleet.list_processes("control") if name != fleet.find_leader()
    )
    for name in (follower, "entry-1"):
        fleet.kill(name)
    start = time.monotonic()
    for name in (follower, "entry-1"):
        fleet.start(name)
    wait_for(lambda: min(text_versions(fleet)) >= version)

    def has_caught_up() -> bool:
        page = fleet.get_page(follower, "/status")
        return bool(page) and page["accepted_version"] >= version

    wait_for(has_caught_up)
    return time.monotonic() - start


@click.command()
@click.option("--changes", default=500)
@click.option("--timed", default=40, help="Changes timed until in force.")
def main(changes: int, timed: int) -> None:
    """Submit changes, restart two processes and print the measured times."""
    with tempfile.TemporaryDirectory() as folder:
        options = {"entries": 7, "part": 8, "drain_s": 1}
        with running_fleet(Path(folder), "127.41", **options) as fleet:
            leader = fleet.find_leader()
            base = fleet.get_page(leader, "/status")["accepted_version"]
            times = []
            for number in range(changes):
                start = time.monotonic()
                base = submit_change(fleet, leader, base, number)
                if number % max(1, changes // timed) == 0:
                    wait_for(lambda newest=base: min(text_versions(fleet)) >= newest)
                    times.append(time.monotonic() - start)
            times.sort()
            p50, p99 = times[len(times) // 2], times[int(len(times) * 0.99)]
            restart_s = measure_restart(fleet, base)
    click.echo(f"{changes} changes, {len(times)} timed until in force on 7 members:")
    click.echo(f"p50 {p50:.2f} s, p99 {p99:.2f} s (target {MAX_IN_FORCE_S} s)")
    click.echo(f"restart after them: {restart_s:.2f} s (target {MAX_RESTART_S} s)")
    sys.exit(0 if p99 <= MAX_IN_FORCE_S and restart_s <= MAX_RESTART_S else 1)


if __name__ == "__main__":
    main()
