"""Run an entry process."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click

from ..entry.factory import entry_program
from ..program.run import load_settings_or_exit
from ..program.run import run_until_stopped
from ..program.settings import EntrySettings
from .options import SETTINGS_FILE

if TYPE_CHECKING:
    from pathlib import Path


@click.group()
@click.version_option(package_name="snipecart")
def main() -> None:
    """Receive calls and route them to backend servers."""


@main.command()
@SETTINGS_FILE
def run(path: Path) -> None:
    """Run until SIGTERM, then drain."""
    cfg = load_settings_or_exit(EntrySettings, path)
    sys.exit(
        run_until_stopped("snipecart-entry", cfg.log_level, lambda: entry_program(cfg))
    )


if __name__ == "__main__":
    main()
