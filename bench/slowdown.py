"""Compare the estimates of slowdowns under simulated load, over several seeds."""

from __future__ import annotations

from tests.gateway.simulation import SECONDS
from tests.gateway.simulation import WARM_CAPACITY
from tests.gateway.simulation import SharedMachines
from tests.gateway.simulation import Simulation

MACHINES = (
    SharedMachines(0.0, 0.4),
    SharedMachines(0.35, 0.25),
    SharedMachines(0.6, 0.25),
)
LOADS = (0.4, 0.7, 1.2)
"""Fractions of what the servers can answer if all objects are warm."""

RULES = ("ignored", "latest", "smoothed")
SEEDS = range(6)
WARMUP_SECONDS = 5.0


def fraction_on_time(machines: SharedMachines, load: float, rule: str) -> float:
    """Return the fraction of requests answered within their latency target."""
    on_time = count = 0
    for seed in SEEDS:
        simulation = Simulation(
            load * WARM_CAPACITY, seed=seed, machines=machines, slowdown_rule=rule
        ).run()
        tally = simulation.between(WARMUP_SECONDS, SECONDS)
        on_time += tally.on_time
        count += tally.count
    return on_time / count


def main() -> None:
    """Print a row for each kind of machine and each load."""
    print("| slow part | fast part | load |", " | ".join(RULES), "|")
    for machines in MACHINES:
        for load in LOADS:
            row = [f"{fraction_on_time(machines, load, rule):.3f}" for rule in RULES]
            parts = f"| {machines.slow_part} | {machines.fast_part} | {load} |"
            print(parts, " | ".join(row), "|", flush=True)


if __name__ == "__main__":
    main()
