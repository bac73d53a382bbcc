"""Declare the options that several commands share."""

from __future__ import annotations

from pathlib import Path

import click

SETTINGS_FILE = click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="JSON settings file.",
)

AS_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
