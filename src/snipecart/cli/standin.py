"""Simulate backend servers."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click

from ..bench.standin import standin_program
from ..program.run import load_settings_or_exit
from ..program.run import run_until_stopped
from ..program.settings import StandinSettings
from .options import SETTINGS_FILE

if TYPE_CHECKING:
    from pathlib import Path


@click.group()
@click.version_option(package_name="snipecart")
def main() -> None:
    """Simulate backend servers, for trials and benchmarks only."""


@main.command()
@SETTINGS_FILE
def run(path: Path) -> None:
    """Run until SIGTERM, then announce the departure and exit."""
    cfg = load_settings_or_exit(StandinSettings, path)
    sys.exit(
        run_until_stopped(
            "snipecart-standin", cfg.log_level, lambda: standin_program(cfg)
        )
    )


if __name__ == "__main__":
    main()
