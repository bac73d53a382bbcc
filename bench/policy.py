"""Compare the policies with the registered baselines under load and faults.

Each run starts a fleet of 7 entry processes and a quarter of the example's backend
servers, with the example's slots, a service time of 600 ms and twice the example's
deadlines. At this scale one machine can carry a flood of 10 times the capacity.
"""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

import click

from bench.fleet import BIN
from bench.fleet import EXAMPLE_CONFIGURATION
from bench.fleet import Fleet
from bench.fleet import running_fleet
from snipecart.core.registry import Registry

SERVICE_TIME_MS = 600
DEADLINE_FACTOR = 2
"""Factor by which the deadlines of the example are extended."""

RUN_S = 16.0
WARMUP_S = 5.0
"""Seconds at the start of a run whose calls are not counted."""

FLOOD_PROCESSES = 3
"""Load generators among which the calls of a flood are divided."""

KIND_FRACTIONS = {
    ("rack-registry", "find-rack"): 0.6,
    ("rack-registry", "issue-tag"): 0.15,
    ("rack-registry", "list-racks"): 0.25,
    ("deposit-ledger", "check-deposit"): 0.5,
    ("deposit-ledger", "charge-deposit"): 0.25,
    ("deposit-ledger", "monthly-report"): 0.25,
}
"""Fraction of the calls of a service, by service and kind."""

CAPACITY_PER_S = {"rack-registry": 54 / 0.6, "deposit-ledger": 18 / 0.6}
"""Calls per second that the scaled services can run: slots / service time in s."""

DEFAULT_POLICIES = {"admission": "floors", "routing": "shares", "retry": "budget"}
"""Policies that are measured against the baselines."""


@dataclass
class RunResult:
    """Store the measurements of one run."""

    name: str
    policies: dict[str, str]
    streams: list[dict[str, Any]] = field(default_factory=list)
    """Results of the load generators, as they print them."""
    over_slots: int = 0
    """Calls that backend servers received while all their slots were taken."""
    received: int = 0
    """Calls that backend servers received."""
    repeated: int = 0
    """Request keys that ran more than once."""
    extra: dict[str, Any] = field(default_factory=dict)
    """Value that the fault injection returned, under ``during``."""


Scenario = Callable[["PolicyBenchmark"], None]

SCENARIOS: Registry[str, Scenario] = Registry("scenarios")


class PolicyBenchmark:
    """Run load against fleets, and collect the results and the missed targets."""

    def __init__(self) -> None:
        self.results: list[RunResult] = []
        self.missed_targets: list[str] = []

    def streams(self, load_fraction: float) -> list[dict[str, Any]]:
        """Return streams of all kinds that offer a fraction of the capacity."""
        ranks = {
            "find-rack": "urgent",
            "check-deposit": "urgent",
            "issue-tag": "normal",
            "charge-deposit": "normal",
            "list-racks": "deferrable",
            "monthly-report": "deferrable",
        }
        return [
            {
                "service": service,
                "kind": kind,
                "rank": ranks[kind],
                "rate": share * load_fraction * CAPACITY_PER_S[service],
                "keyed": ranks[kind] == "normal",
            }
            for (service, kind), share in KIND_FRACTIONS.items()
        ]

    def run(
        self,
        name: str,
        load_fraction: float,
        flood: dict[str, Any] | None = None,
        during: Callable[[Fleet], Any] | None = None,
        before: Callable[[Fleet], Any] | None = None,
        **policies: str,
    ) -> RunResult:
        """Start a fleet, run load against it and return the measurements.

        ``before`` is called before the load, ``during`` 2 s after the warm-up.
        ``policies`` replace the default ones.
        """
        all_policies = {**DEFAULT_POLICIES, **policies}
        result = RunResult(name, all_policies)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder)
            options = {
                "entries": 7,
                "part": 4,
                "service_ms": SERVICE_TIME_MS,
                "drain_s": 1,
            }
            text = write_configuration(path)
            with running_fleet(
                path, "127.40", text=text, **options, **all_policies
            ) as fleet:
                if before is not None:
                    before(fleet)
                self._offer(fleet, result, load_fraction, flood, during)
                for counts in fleet.control_standins():
                    result.over_slots += counts["over_slots"]
                    result.received += counts["received"]
                    result.repeated += len(counts["repeated"])
        self.results.append(result)
        print_result(result)
        return result

    def _offer(
        self,
        fleet: Fleet,
        result: RunResult,
        load_fraction: float,
        flood: dict[str, Any] | None,
        during: Callable[[Fleet], Any] | None,
    ) -> None:
        plans = [self.streams(load_fraction)]
        if flood is not None:
            flood_share = {**flood, "rate": flood["rate"] / FLOOD_PROCESSES}
            plans += [[flood_share]] * FLOOD_PROCESSES
        processes = []
        for number, streams in enumerate(plans):
            plan = {
                "entries": fleet.plan["entries"],
                "seconds": RUN_S,
                "warmup_s": WARMUP_S,
                "workers": 400,
                "seed": number,
                "streams": streams,
            }
            file = fleet.folder / f"load-{number}.txt"
            file.write_text(json.dumps(plan))
            command = [BIN / "snipecart-load", "run", "--json", "--plan", file]
            processes.append(subprocess.Popen(command, stdout=subprocess.PIPE))
        if during is not None:
            time.sleep(WARMUP_S + 2.0)
            result.extra["during"] = during(fleet)
        for process in processes:
            out, _ = process.communicate(timeout=120)
            result.streams += json.loads(out)["streams"]

    def check_target(
        self, name: str, value: float, target: float, *, is_maximum: bool
    ) -> None:
        """Compare a value with its target, and print and record the result."""
        is_met = value <= target if is_maximum else value >= target
        comparison = "at most" if is_maximum else "at least"
        click.echo(
            f"  {'held' if is_met else 'MISSED'}: {name} {value:.3f}, "
            f"{comparison} {target}"
        )
        if not is_met:
            self.missed_targets.append(name)


def write_configuration(folder: Path) -> str:
    """Write the example configuration with longer deadlines, and return its path."""
    text = json.loads(Path(EXAMPLE_CONFIGURATION).read_text())
    for service in text["services"]:
        for kind in service["kinds"]:
            kind["deadline_ms"] *= DEADLINE_FACTOR
    file = folder / "scaled.text"
    file.write_text(json.dumps(text))
    return str(file)


def print_result(result: RunResult) -> None:
    """Print the measurements of one run."""
    policies = " ".join(result.policies.values())
    click.echo(
        f"{result.name} [{policies}] over slots {result.over_slots}, keys run twice "
        f"{result.repeated}, received {result.received} {result.extra or ''}"
    )
    for stream in result.streams:
        click.echo(
            f"    {stream['kind']:<16} offered {stream['offered']:>6} answered "
            f"{stream['answered']:>6} p50 {stream['p50_ms']:>7.0f} "
            f"p99 {stream['p99_ms']:>7.0f} {stream['reasons'] or ''}"
        )


def answered_fraction(result: RunResult, kind: str) -> float:
    """Return the answered fraction of the calls of the first stream of a kind.

    That is the steady stream; a flood of the same kind comes after it.
    """
    stream = next(item for item in result.streams if item["kind"] == kind)
    return stream["answered"] / max(1, stream["offered"])


def make_flood(kind: str, service: str, rank: str, factor: float) -> dict[str, Any]:
    """Return a stream from 3 callers at a multiple of the capacity of its service."""
    return {
        "service": service,
        "kind": kind,
        "rank": rank,
        "rate": CAPACITY_PER_S[service] * factor,
        "callers": 3,
    }


@SCENARIOS.register("steady")
def steady(benchmark: PolicyBenchmark) -> None:
    """Offer 60% and 90% of the capacity, and compare with other routing policies."""
    for load_fraction in (0.6, 0.9):
        default = benchmark.run(f"steady {load_fraction:.0%}", load_fraction)
        for routing in ("round_robin", "least_reported"):
            benchmark.run(f"steady {load_fraction:.0%}", load_fraction, routing=routing)
        benchmark.check_target("over slots", default.over_slots, 0, is_maximum=True)
        benchmark.check_target("keys run twice", default.repeated, 0, is_maximum=True)


@SCENARIOS.register("flood-deferrable")
def flood_deferrable(benchmark: PolicyBenchmark) -> None:
    """Flood the least urgent kind with 10 times the capacity of its service."""
    flood = make_flood("list-racks", "rack-registry", "deferrable", 10)
    baseline = benchmark.run("calm 50%", 0.5)
    default = benchmark.run("flood of deferrable", 0.5, flood)
    benchmark.run("flood of deferrable", 0.5, flood, admission="fifo")
    for kind in ("find-rack", "check-deposit"):
        ratio = answered_fraction(default, kind) / answered_fraction(baseline, kind)
        benchmark.check_target(
            f"{kind} kept in the flood", ratio, 0.99, is_maximum=False
        )


@SCENARIOS.register("flood-urgent")
def flood_urgent(benchmark: PolicyBenchmark) -> None:
    """Flood the most urgent kind with 10 times the capacity of its service."""
    flood = make_flood("find-rack", "rack-registry", "urgent", 10)
    default = benchmark.run("flood of urgent", 0.5, flood)
    benchmark.run("flood of urgent", 0.5, flood, admission="strict_rank")
    floors = {"issue-tag": 0.2, "list-racks": 0.1}
    offered = {"issue-tag": 0.15 * 0.5, "list-racks": 0.25 * 0.5}
    for kind, floor in floors.items():
        fair_share = min(1.0, floor / offered[kind])
        benchmark.check_target(
            f"{kind} kept",
            answered_fraction(default, kind) / fair_share,
            0.8,
            is_maximum=False,
        )
    for kind in ("check-deposit", "charge-deposit", "monthly-report"):
        benchmark.check_target(
            f"{kind} kept", answered_fraction(default, kind), 0.8, is_maximum=False
        )


@SCENARIOS.register("entry-killed")
def entry_killed(benchmark: PolicyBenchmark) -> None:
    """Kill one of 7 entry processes."""
    result = benchmark.run(
        "entry killed", 0.6, during=lambda fleet: fleet.kill("entry-3")
    )
    benchmark.check_target(
        "find-rack kept", answered_fraction(result, "find-rack"), 0.98, is_maximum=False
    )
    benchmark.check_target("keys run twice", result.repeated, 0, is_maximum=True)


def set_standins(fleet: Fleet, span: slice, **behaviour: Any) -> None:
    """Set the behaviour of some stand-in servers of the service rack-registry."""
    for endpoint in fleet.read_settings("standin-rack-registry")["endpoints"][span]:
        fleet.control_standin(endpoint, **behaviour)


@SCENARIOS.register("slow-endpoint")
def slow_endpoint(benchmark: PolicyBenchmark) -> None:
    """Let one of 6 backend servers take 5 times as long and report no load."""

    def slow(fleet: Fleet) -> None:
        set_standins(fleet, slice(0, 1), slow=5.0, lie=0.0)

    for routing in ("shares", "round_robin", "least_reported"):
        benchmark.run("slow endpoint", 0.5, during=slow, routing=routing)


@SCENARIOS.register("half-failing")
def half_failing(benchmark: PolicyBenchmark) -> None:
    """Let half of the backend servers of a service reject every call."""

    def fail(fleet: Fleet) -> None:
        set_standins(fleet, slice(0, 3), fail=True)

    for retry in ("budget", "unbounded"):
        result = benchmark.run("half failing", 0.3, before=fail, retry=retry)
        offered = 0.3 * sum(CAPACITY_PER_S.values()) * RUN_S
        if retry == "budget":
            ratio = result.received / offered
            benchmark.check_target(
                "received for each offered", ratio, 1.1, is_maximum=True
            )


@SCENARIOS.register("silent-endpoint")
def silent_endpoint(benchmark: PolicyBenchmark) -> None:
    """Let one backend server accept calls and never answer."""

    def silence(fleet: Fleet) -> None:
        set_standins(fleet, slice(0, 1), silent=True)

    result = benchmark.run("silent endpoint", 0.5, during=silence)
    benchmark.check_target(
        "find-rack kept", answered_fraction(result, "find-rack"), 0.95, is_maximum=False
    )


@SCENARIOS.register("region-gone")
def region_gone(benchmark: PolicyBenchmark) -> None:
    """Let all backend servers of one of 3 regions accept calls and never answer."""

    def silence(fleet: Fleet) -> None:
        set_standins(fleet, slice(0, 2), silent=True)

    benchmark.run("region gone", 0.4, during=silence)


@SCENARIOS.register("drain")
def drain(benchmark: PolicyBenchmark) -> None:
    """Drain one backend server; measure the time until its last new call."""
    observed_s = 5.0

    def start_leaving(fleet: Fleet) -> float:
        endpoint = fleet.read_settings("standin-rack-registry")["endpoints"][0]
        fleet.announce_leaving("rack-registry", endpoint)
        time.sleep(observed_s)
        return max(0.0, observed_s - fleet.control_standin(endpoint)["idle_s"])

    result = benchmark.run("drain", 0.6, during=start_leaving)
    benchmark.check_target(
        "seconds to no new work", result.extra["during"], 2.0, is_maximum=True
    )
    broken = sum(
        stream["reasons"].get("backend_broken", 0) for stream in result.streams
    )
    benchmark.check_target("requests cut off", broken, 0, is_maximum=True)


@SCENARIOS.register("control-frozen")
def control_frozen(benchmark: PolicyBenchmark) -> None:
    """Freeze the leading control process for 6 s."""

    def freeze(fleet: Fleet) -> str:
        leader = fleet.find_leader()
        fleet.send_signal(leader, signal.SIGSTOP)
        timer = threading.Timer(6.0, fleet.send_signal, (leader, signal.SIGCONT))
        timer.start()
        return leader

    result = benchmark.run("leader frozen", 0.5, during=freeze)
    benchmark.check_target(
        "find-rack kept", answered_fraction(result, "find-rack"), 0.98, is_maximum=False
    )
    benchmark.check_target("keys run twice", result.repeated, 0, is_maximum=True)


@click.command()
@click.argument("names", nargs=-1)
def main(names: tuple[str, ...]) -> None:
    """Run the named scenarios, or all of them."""
    benchmark = PolicyBenchmark()
    for name in names or list(SCENARIOS):
        click.echo(f"== {name}")
        SCENARIOS.get(name)(benchmark)
    click.echo(f"missed: {benchmark.missed_targets or 'none'}")
    sys.exit(1 if benchmark.missed_targets else 0)


if __name__ == "__main__":
    main()
