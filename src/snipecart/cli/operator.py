"""Check, submit and inspect the configuration."""

from __future__ import annotations

import json
import sys
import threading
import time
import uuid
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import click
from urllib3.exceptions import HTTPError

from ..core.failures import Failure
from ..core.failures import TextInvalid
from ..program.answers import to_json
from ..text.diff import Change
from ..text.diff import diff_texts
from ..text.model import Text
from ..text.parse import build_json_schema
from ..text.parse import parse_text
from ..upstream.status_line import StrictPoolManager
from .control_client import ControlClient
from .control_client import Refused
from .exits import Exit
from .fleet import fleet
from .fleet import where
from .options import AS_JSON

POLL_INTERVAL = 0.2
"""Seconds between two checks whether a configuration is in force."""

CONTROL_ADDRESSES = click.option(
    "--control",
    "addresses",
    multiple=True,
    required=True,
    envvar="SNIPECART_CONTROL",
    help="host:port of a control process; repeat the option, or set SNIPECART_CONTROL.",
)
TEXT_FILE = click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)


@click.group()
@click.version_option(package_name="snipecart")
def main() -> None:
    """Manage the configuration of snipecart and inspect its processes.

    Example: snipecart submit --control 10.0.0.1:7180 services.json
    """


def pause(seconds: float) -> None:
    """Block for a number of seconds."""
    threading.Event().wait(seconds)


def _make_client(addresses: tuple[str, ...]) -> ControlClient:
    return ControlClient(tuple(" ".join(addresses).split()), pause)


def _print_result(value: Any, lines: list[str], as_json: bool) -> None:
    click.echo(to_json(value).decode() if as_json else "\n".join(lines))


def _exit_with_failure(failure: Failure, code: Exit, as_json: bool) -> None:
    fields = failure.fields if isinstance(failure, Refused) else None
    faults = (fields or {}).get("faults") or [
        vars(fault) for fault in getattr(failure, "faults", ())
    ]
    if as_json:
        value = {"reason": failure.reason, "detail": failure.detail, "faults": faults}
        click.echo(to_json(value).decode())
    else:
        click.echo(f"refused: {failure.reason}: {failure.detail}", err=True)
        for fault in faults:
            line = f"  {fault['path']}: {fault['kind']}: {fault['reason']}"
            click.echo(line, err=True)
    sys.exit(code)


def _read_text(file: Path, as_json: bool) -> Text:
    parsed = parse_text(file.read_bytes())
    if parsed.is_error():
        _exit_with_failure(parsed.error, Exit.TEXT_REFUSED, as_json)
    return parsed.ok


@main.command()
@TEXT_FILE
@AS_JSON
def check(file: Path, as_json: bool) -> None:
    """Check a configuration without submitting it.

    Example: snipecart check services.json
    """
    text = _read_text(file, as_json)
    summary = {
        "services": len(text.services),
        "regions": len(text.regions),
        "links": len(text.links),
    }
    _print_result(
        summary, [f"configuration is valid: {len(text.services)} services"], as_json
    )


@main.command()
def schema() -> None:
    """Print the JSON Schema of the configuration.

    Example: snipecart schema > text.schema.json
    """
    click.echo(json.dumps(build_json_schema(Text), indent=2))


@main.command()
@CONTROL_ADDRESSES
def show(addresses: tuple[str, ...]) -> None:
    """Print the accepted configuration, as confirmed by a quorum.

    Example: snipecart show --control 10.0.0.1:7180
    """
    answer = _make_client(addresses).request("GET", "/text")
    if answer.is_error():
        _exit_with_failure(answer.error, Exit.UNREACHABLE, False)
    click.echo(answer.ok.body.decode())


@main.command()
@CONTROL_ADDRESSES
@TEXT_FILE
@AS_JSON
@click.option("--base", type=int, help="Version to replace; default: the accepted one.")
@click.option("--id", "submission", help="Submission id; repeat it to resend.")
@click.option(
    "--wait", "seconds", default=30.0, help="Seconds to wait until it is in force."
)
@click.option("--yes", is_flag=True, help="Submit without confirmation.")
def submit(
    addresses: tuple[str, ...],
    file: Path,
    as_json: bool,
    base: int | None,
    submission: str | None,
    seconds: float,
    yes: bool,
) -> None:
    """Show what a configuration changes, submit it, and wait until it is in force.

    Example: snipecart submit --control 10.0.0.1:7180 --yes services.json
    """
    text = _read_text(file, as_json)
    client = _make_client(addresses)
    current = client.request("GET", "/text")
    if current.is_error():
        _exit_with_failure(current.error, Exit.UNREACHABLE, as_json)
    previous = parse_text(current.ok.body).ok if current.ok.body else None
    if not as_json:
        _print_changes(diff_texts(previous, text))
    if not (yes or as_json):
        click.confirm("Submit this configuration?", abort=True)
    submission = submission or uuid.uuid4().hex
    base = current.ok.version if base is None else base
    query = urlencode({"base": base, "submission": submission})
    started_at = time.monotonic()
    answer = client.request("POST", f"/submit?{query}", file.read_bytes())
    if answer.is_error():
        _exit_with_submit_failure(answer.error, submission, as_json)
    version = answer.ok.json()["version"]
    if not as_json:
        click.echo(f"accepted as version {version} (submission {submission})")
    _wait_in_force(client, version, started_at, seconds, as_json)


def _exit_with_submit_failure(failure: Failure, submission: str, as_json: bool) -> None:
    if failure.reason in ("version_conflict", "submission_reused"):
        _exit_with_failure(failure, Exit.CONFLICT, as_json)
    if isinstance(failure, TextInvalid) or failure.reason == "text_invalid":
        _exit_with_failure(failure, Exit.TEXT_REFUSED, as_json)
    click.echo(f"outcome unknown; run submit again with --id {submission}", err=True)
    _exit_with_failure(failure, Exit.UNREACHABLE, as_json)


def _print_changes(changes: list[Change]) -> None:
    for change in changes:
        if change.kind == "changed":
            detail = f"{change.before!r} -> {change.after!r}"
        else:
            detail = ""
        click.echo(f"  {change.kind} {change.path} {detail}".rstrip())
    if not changes:
        click.echo("  no change")


def _wait_in_force(
    client: ControlClient,
    version: int,
    started_at: float,
    seconds: float,
    as_json: bool,
) -> None:
    lagging: list[str] = []
    while time.monotonic() < started_at + seconds:
        answer = client.request("GET", "/status")
        status = answer.ok.json() if answer.is_ok() else {}
        leader = status.get("leader_web", "")
        if status and status["role"] != "leader" and leader:
            client.prefer(leader)
            status = {}
        if status.get("in_force") and status["accepted_version"] >= version:
            elapsed = time.monotonic() - started_at
            value = {"version": version, "in_force": True, "seconds": round(elapsed, 3)}
            _print_result(
                value, [f"in force everywhere after {elapsed:.2f} s"], as_json
            )
            return
        if status.get("lagging", lagging) != lagging:
            lagging = status["lagging"]
            if not as_json:
                click.echo(f"waiting for {len(lagging)} members")
        pause(POLL_INTERVAL)
    value = {"version": version, "in_force": False, "lagging": lagging}
    names = ", ".join(lagging) or "not known"
    _print_result(value, [f"accepted, but not in force yet on: {names}"], as_json)
    sys.exit(Exit.NOT_IN_FORCE)


@main.command()
@CONTROL_ADDRESSES
@AS_JSON
def status(addresses: tuple[str, ...], as_json: bool) -> None:
    """Show the status of each control process.

    Example: snipecart status --control "10.0.0.1:7180 10.0.0.2:7180"
    """
    value: dict[str, Any] = {}
    lines: list[str] = []
    for address, answer in _make_client(addresses).request_each("/status").items():
        if answer.is_error():
            value[address] = {"reason": answer.error.reason}
            lines.append(f"{address}: unreachable ({answer.error.detail})")
            continue
        node_status = answer.ok.json()
        value[address] = node_status
        lines.append(
            f"{address}: {node_status['role']}, term {node_status['term']}, "
            f"committed {node_status['commit']}, "
            f"configuration {node_status['accepted_version']}, "
            f"disk {node_status['disk']}"
        )
        if node_status["role"] == "leader":
            lines += _describe_leader(node_status)
    _print_result(value, lines, as_json)
    if not any(node_status.get("confirmed") for node_status in value.values()):
        sys.exit(Exit.UNREACHABLE)


def _describe_leader(node_status: dict[str, Any]) -> list[str]:
    progress = (
        "in force everywhere" if node_status["in_force"] else "not in force everywhere"
    )
    lines = [
        f"  configuration {node_status['accepted_version']} {progress}",
        f"  voters: {', '.join(node['node'] for node in node_status['voters'])}",
        f"  backend servers: {len(node_status['endpoints'])},"
        f" claims: {node_status['claims']}",
    ]
    for member in node_status["members"]:
        lines.append(
            f"  member {member['member']['member']}"
            f" on configuration {member['text_version']}"
        )
    return lines


@main.command()
@click.option("--entry", required=True, help="host:port of an entry process.")
@click.argument("service")
@click.argument("kind")
@AS_JSON
def explain(entry: str, service: str, kind: str, as_json: bool) -> None:
    """Show where a call would be sent now, or why it would be refused.

    Example: snipecart explain --entry 10.0.1.1:7280 rack-registry find-rack
    """
    query = urlencode({"service": service, "kind": kind})
    try:
        response = StrictPoolManager().request(
            "GET", f"http://{entry}/explain?{query}", retries=False, timeout=5.0
        )
    except HTTPError as exc:
        click.echo(f"entry process unreachable: {exc}", err=True)
        sys.exit(Exit.UNREACHABLE)
    value = response.json()
    if response.status != 200:
        click.echo(f"refused: {value}", err=True)
        sys.exit(Exit.FAILED)
    decision = value["refusal"] or "would be served"
    lines = [
        f"{decision} {value['detail']}".rstrip(),
        f"configuration: {value['freshness']}",
    ]
    for server in value["endpoints"]:
        lines.append(
            f"  {server['endpoint']} in {server['zone']}: {server['in_flight']} of "
            f"{server['usable']} usable slots, {server['health']}, {server['state']}"
        )
    _print_result(value, lines, as_json)


main.add_command(fleet)
main.add_command(where)


if __name__ == "__main__":
    main()
