"""Test the console commands without any running process."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from snipecart.cli import control
from snipecart.cli import entry
from snipecart.cli import load
from snipecart.cli import operator
from snipecart.cli import standin
from snipecart.cli.exits import Exit

VALID_CONFIGURATION = "examples/ajanel.json"


def run(command, *args):
    """Run a command and return its result."""
    return CliRunner().invoke(command, [str(arg) for arg in args])


def test_check_accepts_a_valid_configuration():
    result = run(operator.main, "check", VALID_CONFIGURATION)
    assert (result.exit_code, result.output) == (
        Exit.DONE,
        "configuration is valid: 2 services\n",
    )


def test_check_rejects_an_invalid_configuration_with_paths(tmp_path):
    file = tmp_path / "text.json"
    file.write_text('{"regions": [{"name": "r", "zones": []}], "services": []}')
    result = run(operator.main, "check", "--json", file)
    assert result.exit_code == Exit.TEXT_REFUSED
    paths = {fault["path"] for fault in json.loads(result.output)["faults"]}
    assert paths == {"$.regions[0].zones", "$.services"}


def test_schema_is_a_json_schema():
    assert "services" in json.loads(run(operator.main, "schema").output)["properties"]


def test_status_without_control_process_is_unreachable():
    result = run(operator.main, "status", "--control", "127.0.0.1:1")
    assert result.exit_code == Exit.UNREACHABLE


@pytest.mark.parametrize(
    ("program", "args"),
    [
        (control.main, ("run", "--settings")),
        (control.main, ("init", "--settings")),
        (entry.main, ("run", "--settings")),
        (standin.main, ("run", "--settings")),
        (load.main, ("run", "--plan")),
    ],
)
@pytest.mark.parametrize("text", ['{"vm": 1}', "{", "[]", None])
def test_invalid_settings_stop_a_program_with_one_line(tmp_path, program, args, text):
    file = tmp_path / "settings.json"
    if text is not None:
        file.write_text(text)
    result = run(program, *args, file)
    assert result.exit_code == Exit.USAGE
    assert result.output.startswith("settings refused: ")
    assert result.output.count("\n") == 1


@pytest.mark.parametrize(
    "name", ["check", "schema", "show", "submit", "status", "explain"]
)
def test_every_command_has_help_with_an_example(name):
    assert "Example: snipecart" in run(operator.main, name, "--help").output
