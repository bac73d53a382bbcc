"""Run a control process."""

from __future__ import annotations

import sys
from contextlib import contextmanager
from typing import TYPE_CHECKING

import click

from ..control.disk.store import FolderInUse
from ..control.disk.store import IdentityExists
from ..control.disk.store import bootstrap_log
from ..control.disk.store import lock_data_folder
from ..control.factory import initial_voters
from ..control.program import control_program
from ..core.events import LOG_CORRUPT
from ..core.events import emit
from ..program.run import EXIT_FAILED
from ..program.run import load_settings_or_exit
from ..program.run import run_until_stopped
from ..program.settings import ControlSettings
from .options import SETTINGS_FILE
from .recovery import recover
from .recovery import show_log

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


@click.group()
@click.version_option(package_name="snipecart")
def main() -> None:
    """Replicate snipecart's configuration, claims and leases, on a VM with a disk."""


@main.command()
@SETTINGS_FILE
def init(path: Path) -> None:
    """Create a new log in a blank data folder, once on each founding VM.

    Never run it to replace a lost disk: a process with a blank folder joins by itself.
    """
    cfg = load_settings_or_exit(ControlSettings, path)
    try:
        with lock_data_folder(cfg.data) as folder:
            bootstrap_log(folder, cfg.vm, initial_voters(cfg))
    except (IdentityExists, FolderInUse) as exc:
        click.echo(
            "log not created, use a blank folder that no process uses:"
            f" {type(exc).__name__} {exc}",
            err=True,
        )
        sys.exit(EXIT_FAILED)


@main.command()
@SETTINGS_FILE
def run(path: Path) -> None:
    """Run until SIGTERM."""
    cfg = load_settings_or_exit(ControlSettings, path)
    sys.exit(
        run_until_stopped("snipecart-control", cfg.log_level, lambda: _running(cfg))
    )


@contextmanager
def _running(cfg: ControlSettings) -> Iterator[None]:
    try:
        with control_program(cfg) as node:
            if node.is_error():
                emit(LOG_CORRUPT, where=node.error.detail)
                sys.exit(EXIT_FAILED)
            yield
    except FolderInUse as exc:
        click.echo(
            f"data folder is in use, stop the process that uses it: {exc}", err=True
        )
        sys.exit(EXIT_FAILED)


main.add_command(show_log)
main.add_command(recover)
