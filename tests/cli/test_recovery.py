"""Test the commands that compare data folders and recover one of them."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from snipecart.cli import control
from snipecart.cli.exits import Exit
from snipecart.control.disk.store import Store
from snipecart.control.disk.store import bootstrap_log
from snipecart.control.disk.store import lock_data_folder
from snipecart.control.disk.store import read_data_folder
from snipecart.messages.commands import ChangeVoters
from snipecart.messages.commands import Entry
from snipecart.messages.commands import Node
from snipecart.messages.commands import PutRouting
from snipecart.messages.raft import DiskBatch

FOUNDERS = tuple(Node(f"{vm}/founder", vm, f"host-{vm}", 7) for vm in "abc")


def run(*args, answer=None):
    """Run a command of snipecart-control and return its result."""
    return CliRunner().invoke(control.main, [str(arg) for arg in args], input=answer)


def write_entries(folder, *entries):
    store = Store(folder)
    store.write(DiskBatch(1, "", 0, entries))
    store.close()


def make_folder(folder, vm="a", tables=1):
    """Create the data folder of a founder with a number of routing tables."""
    with lock_data_folder(folder):
        bootstrap_log(folder, vm, FOUNDERS)
        for index in range(2, tables + 2):
            table = PutRouting(index, b"table", b"source")
            write_entries(folder, Entry(index, 1, 0, table))
    return folder


@pytest.fixture
def folder(tmp_path):
    """Return the data folder of a founder that does not run."""
    return make_folder(tmp_path / "data-a")


def read_files(folder):
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def voters_in(folder):
    """Return the voters in the last entry of a folder's log."""
    command = read_data_folder(folder).ok.entries[-1].command
    return command.voters if isinstance(command, ChangeVoters) else None


def test_log_shows_a_folder_and_leaves_it_unchanged(folder):
    before = read_files(folder)
    result = run("log", "--data", folder)
    assert result.exit_code == Exit.DONE
    assert f"{folder}: node a/founder on VM a\n" in result.output
    assert "last entry 2 of term 1, known to be committed up to 0" in result.output
    assert "with the entries not known to be committed" in result.output
    assert "voter b/founder at host-b:7" in result.output
    assert "newest" not in result.output
    assert read_files(folder) == before


def test_log_names_the_newest_of_several_folders(tmp_path, folder):
    newer = make_folder(tmp_path / "data-b", "b", tables=3)
    result = run("log", "--data", folder, "--data", newer)
    assert result.exit_code == Exit.DONE
    assert result.output.splitlines()[-1] == f"newest log: {newer}"


def test_log_says_if_the_newest_log_may_be_in_a_refused_folder(tmp_path, folder):
    result = run("log", "--data", folder, "--data", tmp_path / "blank")
    assert result.exit_code == Exit.USAGE
    assert f"newest log of those that could be read: {folder}\n" in result.stdout


def test_log_prints_json_also_for_refused_folders(tmp_path, folder):
    blank = tmp_path / "blank"
    result = run("log", "--json", "--data", folder, "--data", blank)
    assert result.exit_code == Exit.USAGE
    answer = json.loads(result.stdout)
    summary = answer["logs"][str(folder)]
    assert (summary["node"], summary["vm"]) == ("a/founder", "a")
    assert (summary["last_index"], summary["last_term"]) == (2, 1)
    assert summary["latest"] == {"configuration": 0, "routing": 2}
    assert [item["host"] for item in summary["voters"]] == [
        "host-a",
        "host-b",
        "host-c",
    ]
    assert answer["refused"][str(blank)]["reason"] == "data_folder_blank"
    assert answer["newest"] == [str(folder)]
    assert not blank.exists()


def test_recover_says_what_it_does_and_does_it_once_confirmed(folder):
    result = run("recover", "--data", folder, answer="y\n")
    assert result.exit_code == Exit.DONE
    assert "a/founder at host-a:7 becomes the only voter" in result.output
    assert "removes voter b/founder at host-b:7" in result.output
    assert "removes voter c/founder at host-c:7" in result.output
    assert "commits 2 entries not known to be committed" in result.output
    assert "two logs live side by side" in result.output
    assert "E2014" in result.stderr
    assert voters_in(folder) == FOUNDERS[:1]


@pytest.mark.parametrize("answer", ["n\n", "\n", ""])
def test_recover_changes_nothing_unless_confirmed(folder, answer):
    before = read_files(folder)
    result = run("recover", "--data", folder, answer=answer)
    assert result.exit_code == Exit.FAILED
    assert read_files(folder) == before


def test_recover_does_not_ask_with_yes(folder):
    assert run("recover", "--yes", "--data", folder).exit_code == Exit.DONE
    assert voters_in(folder) == FOUNDERS[:1]


def test_recover_takes_a_stated_address(folder):
    args = ("--host", "host-x", "--port", "9")
    assert run("recover", "--yes", "--data", folder, *args).exit_code == Exit.DONE
    assert voters_in(folder) == (Node("a/founder", "a", "host-x", 9),)


@pytest.mark.parametrize("args", [("--host", "host-x"), ("--port", "9")])
def test_recover_refuses_half_an_address(folder, args):
    before = read_files(folder)
    result = run("recover", "--yes", "--data", folder, *args)
    assert result.exit_code == Exit.USAGE
    assert read_files(folder) == before


def refused(result, folder, reason, code):
    """Return whether a command refused a folder for a reason, with an exit code."""
    line = f"{folder}: refused, {reason}: "
    return line in result.stderr and result.exit_code == code


COMMANDS = [("log",), ("recover", "--yes")]


@pytest.mark.parametrize("command", COMMANDS)
def test_a_folder_in_use_is_refused(folder, command):
    before = read_files(folder)
    with lock_data_folder(folder):
        result = run(*command, "--data", folder)
    assert refused(result, folder, "data_folder_in_use", Exit.FAILED)
    assert read_files(folder) == before


@pytest.mark.parametrize("command", COMMANDS)
def test_a_blank_folder_is_refused_and_not_created(tmp_path, command):
    missing, blank = tmp_path / "missing", tmp_path / "blank"
    blank.mkdir()
    for path in (missing, blank):
        result = run(*command, "--data", path)
        assert refused(result, path, "data_folder_blank", Exit.USAGE)
    assert not missing.exists()
    assert read_files(blank) == {}


@pytest.mark.parametrize("command", COMMANDS)
def test_a_corrupt_log_is_refused(folder, command):
    data = bytearray((folder / "log").read_bytes())
    data[5] ^= 0xFF
    (folder / "log").write_bytes(data)
    result = run(*command, "--data", folder)
    assert refused(result, folder, "log_corrupt", Exit.FAILED)
    assert (folder / "log").read_bytes() == data


@pytest.mark.parametrize("command", COMMANDS)
def test_an_unreadable_folder_is_refused(folder, command):
    (folder / "log").unlink()
    (folder / "log").mkdir()
    result = run(*command, "--data", folder)
    assert refused(result, folder, "data_folder_failed", Exit.FAILED)


def test_recover_refuses_a_node_that_never_was_a_member(folder):
    (folder / "identity").write_text("d/1")
    before = read_files(folder)
    result = run("recover", "--yes", "--data", folder)
    assert refused(result, folder, "never_member", Exit.USAGE)
    assert read_files(folder) == before


def test_recover_asks_for_an_address_that_the_log_does_not_have(folder):
    write_entries(folder, Entry(3, 1, 0, ChangeVoters(FOUNDERS[1:], ())))
    result = run("recover", "--yes", "--data", folder)
    assert refused(result, folder, "address_unknown", Exit.USAGE)
    args = ("--host", "host-a", "--port", "7")
    assert run("recover", "--yes", "--data", folder, *args).exit_code == Exit.DONE


@pytest.mark.parametrize("name", ["log", "recover"])
def test_the_commands_have_help_with_an_example(name):
    assert "Example: snipecart-control" in run(name, "--help").output
