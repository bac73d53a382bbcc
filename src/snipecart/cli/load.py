"""Generate load and print the measured results."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from ..bench.load import LoadPlan
from ..bench.load import LoadRun
from ..bench.load import summarize_ranks
from ..program.answers import to_json
from ..program.run import load_settings_or_exit
from .options import AS_JSON


@click.group()
@click.version_option(package_name="snipecart")
def main() -> None:
    """Generate load at set rates, for trials and benchmarks."""


@main.command()
@click.option(
    "--plan",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="JSON file that describes the run.",
)
@AS_JSON
@click.option(
    "--history", type=click.Path(path_type=Path), help="Write each key's outcome here."
)
def run(path: Path, as_json: bool, history: Path | None) -> None:
    """Run the load of a plan and print the results by rank and kind."""
    plan = load_settings_or_exit(LoadPlan, path)
    results = LoadRun(plan).run()
    streams = [result.summarize() for result in results]
    ranks = summarize_ranks(results)
    if history is not None:
        keys = {key: end for result in results for key, end in result.keys.items()}
        history.write_bytes(to_json(keys))
    if as_json:
        click.echo(to_json({"streams": streams, "ranks": ranks}).decode())
        return
    click.echo("by rank:")
    for row in ranks:
        click.echo(_format_row(row, row["rank"]))
    click.echo("by kind:")
    for row in streams:
        click.echo(_format_row(row, f"{row['service']}/{row['kind']}"))
        if row["reasons"]:
            click.echo(f"    refused or failed: {row['reasons']}")


def _format_row(row: dict[str, Any], name: str) -> str:
    return (
        f"  {name:<32} offered {row['offered']:>6}  answered {row['answered']:>6}  "
        f"p50 {row['p50_ms']:>8.1f} ms  p99 {row['p99_ms']:>8.1f} ms"
    )


if __name__ == "__main__":
    main()
