"""Run soaks from the command line."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import click

from .run import ALL_FAULTS
from .run import soak
from .world import DEFAULT_NET


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seeds", default=1, help="Number of seeds.")
@click.option("--seconds", default=30.0, help="Time of each soak with faults.")
@click.option("--controls", default=5, help="Control processes of the fleet.")
@click.option("--gateways", default=3, help="Gateways of the fleet.")
@click.option("--net", default=DEFAULT_NET, help="First bytes of loopback addresses.")
@click.option("--fault", multiple=True, help="Only faults of this name; repeatable.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for the logs.")
def main(
    seed: int,
    seeds: int,
    seconds: float,
    controls: int,
    gateways: int,
    net: str,
    fault: tuple[str, ...],
    keep: Path | None,
) -> None:
    """Soak the programs with random faults; exit with 1 if a check fails."""
    failed = 0
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as folder:
            base = Path(folder) if keep is None else keep / str(number)
            base.mkdir(parents=True, exist_ok=True)
            faults = fault or ALL_FAULTS
            report = soak(number, seconds, base, controls, gateways, net, faults)
        click.echo("\n".join(report.lines()))
        failed += not report.passed
    click.echo(f"{seeds - failed} of {seeds} seeds passed")
    sys.exit(bool(failed))


main()
