"""Check, submit and inspect the operators' text."""

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
import urllib3
from urllib3.exceptions import HTTPError

from ..core.failures import Failure
from ..core.failures import TextInvalid
from ..program.answers import to_json
from ..text.diff import Change
from ..text.diff import diff_texts
from ..text.model import Text
from ..text.parse import build_json_schema
from ..text.parse import parse_text
from .control_web import ControlWeb
from .control_web import Refused
from .exits import Exit
from .fleet import fleet
from .fleet import where
from .options import AS_JSON

POLL = 0.2
"""Seconds between two looks at whether a text is in force."""

CONTROL = click.option(
    "--control",
    "addresses",
    multiple=True,
    required=True,
    envvar="SNIPECART_CONTROL",
    help="host:port of a control process; repeat it, or set SNIPECART_CONTROL.",
)
TEXT = click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)


@click.group()
@click.version_option(package_name="snipecart")
def main() -> None:
    """Drive snipecart by its one text.

    Example: snipecart submit --control 10.0.0.1:7180 services.json
    """


def pause(seconds: float) -> None:
    """Block for some seconds."""
    threading.Event().wait(seconds)


def _web(addresses: tuple[str, ...]) -> ControlWeb:
    return ControlWeb(tuple(" ".join(addresses).split()), pause)


def _print(value: Any, lines: list[str], as_json: bool) -> None:
    click.echo(to_json(value).decode() if as_json else "\n".join(lines))


def _fail(failure: Failure, code: Exit, as_json: bool) -> None:
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
        _fail(parsed.error, Exit.TEXT_REFUSED, as_json)
    return parsed.ok


@main.command()
@TEXT
@AS_JSON
def check(file: Path, as_json: bool) -> None:
    """Check a text without submitting it.

    Example: snipecart check services.json
    """
    text = _read_text(file, as_json)
    summary = {
        "services": len(text.services),
        "regions": len(text.regions),
        "links": len(text.links),
    }
    _print(summary, [f"good: {len(text.services)} services"], as_json)


@main.command()
def schema() -> None:
    """Print the JSON Schema of a text.

    Example: snipecart schema > text.schema.json
    """
    click.echo(json.dumps(build_json_schema(Text), indent=2))


@main.command()
@CONTROL
def show(addresses: tuple[str, ...]) -> None:
    """Print the accepted text, as a quorum confirms it.

    Example: snipecart show --control 10.0.0.1:7180
    """
    answer = _web(addresses).ask("GET", "/text")
    if answer.is_error():
        _fail(answer.error, Exit.UNREACHABLE, False)
    click.echo(answer.ok.body.decode())


@main.command()
@CONTROL
@TEXT
@AS_JSON
@click.option("--base", type=int, help="Version the text follows; default: accepted.")
@click.option("--id", "submission", help="Submission id; give it again to resend.")
@click.option("--wait", "seconds", default=30.0, help="Seconds to wait for in force.")
@click.option("--yes", is_flag=True, help="Submit without asking.")
def submit(
    addresses: tuple[str, ...],
    file: Path,
    as_json: bool,
    base: int | None,
    submission: str | None,
    seconds: float,
    yes: bool,
) -> None:
    """Show what a text changes, submit it, and wait until it is in force everywhere.

    Example: snipecart submit --control 10.0.0.1:7180 --yes services.json
    """
    text = _read_text(file, as_json)
    web = _web(addresses)
    current = web.ask("GET", "/text")
    if current.is_error():
        _fail(current.error, Exit.UNREACHABLE, as_json)
    before = parse_text(current.ok.body).ok if current.ok.body else None
    if not as_json:
        _print_changes(diff_texts(before, text))
    if not (yes or as_json):
        click.confirm("submit?", abort=True)
    submission = submission or uuid.uuid4().hex
    base = current.ok.version if base is None else base
    query = urlencode({"base": base, "submission": submission})
    began = time.monotonic()
    answer = web.ask("POST", f"/submit?{query}", file.read_bytes())
    if answer.is_error():
        _fail_submit(answer.error, submission, as_json)
    version = answer.ok.json()["version"]
    if not as_json:
        click.echo(f"accepted as version {version} (submission {submission})")
    _wait_in_force(web, version, began, seconds, as_json)


def _fail_submit(failure: Failure, submission: str, as_json: bool) -> None:
    if failure.reason in ("version_conflict", "submission_reused"):
        _fail(failure, Exit.CONFLICT, as_json)
    if isinstance(failure, TextInvalid) or failure.reason == "text_invalid":
        _fail(failure, Exit.TEXT_REFUSED, as_json)
    click.echo(f"outcome unknown; resend with --id {submission}", err=True)
    _fail(failure, Exit.UNREACHABLE, as_json)


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
    web: ControlWeb, version: int, began: float, seconds: float, as_json: bool
) -> None:
    lagging: list[str] = []
    while time.monotonic() < began + seconds:
        answer = web.ask("GET", "/status")
        status = answer.ok.json() if answer.is_ok() else {}
        leader = status.get("leader_web", "")
        if status and status["role"] != "leader" and leader:
            web.prefer(leader)
            status = {}
        if status.get("in_force") and status["accepted_version"] >= version:
            took = time.monotonic() - began
            value = {"version": version, "in_force": True, "seconds": round(took, 3)}
            _print(value, [f"in force everywhere after {took:.2f} s"], as_json)
            return
        if status.get("lagging", lagging) != lagging:
            lagging = status["lagging"]
            if not as_json:
                click.echo(f"waiting for {len(lagging)} members")
        pause(POLL)
    value = {"version": version, "in_force": False, "lagging": lagging}
    names = ", ".join(lagging) or "not known"
    _print(value, [f"accepted, but not in force yet on: {names}"], as_json)
    sys.exit(Exit.NOT_IN_FORCE)


@main.command()
@CONTROL
@AS_JSON
def status(addresses: tuple[str, ...], as_json: bool) -> None:
    """Tell what each control process knows.

    Example: snipecart status --control "10.0.0.1:7180 10.0.0.2:7180"
    """
    value: dict[str, Any] = {}
    lines: list[str] = []
    for address, answer in _web(addresses).ask_each("/status").items():
        if answer.is_error():
            value[address] = {"reason": answer.error.reason}
            lines.append(f"{address}: unreachable ({answer.error.detail})")
            continue
        known = answer.ok.json()
        value[address] = known
        lines.append(
            f"{address}: {known['role']}, term {known['term']}, "
            f"committed {known['commit']}, text {known['accepted_version']}"
        )
        if known["role"] == "leader":
            lines += _describe_leader(known)
    _print(value, lines, as_json)
    if not any(known.get("confirmed") for known in value.values()):
        sys.exit(Exit.UNREACHABLE)


def _describe_leader(known: dict[str, Any]) -> list[str]:
    force = "in force everywhere" if known["in_force"] else "not in force everywhere"
    lines = [
        f"  text {known['accepted_version']} {force}",
        f"  voters: {', '.join(node['node'] for node in known['voters'])}",
        f"  backend servers: {len(known['endpoints'])}, claims: {known['claims']}",
    ]
    for member in known["members"]:
        lines.append(
            f"  member {member['member']['member']} on text {member['text_version']}"
        )
    return lines


@main.command()
@click.option("--entry", required=True, help="host:port of an entry process.")
@click.argument("service")
@click.argument("kind")
@AS_JSON
def explain(entry: str, service: str, kind: str, as_json: bool) -> None:
    """Tell where a call would go now, or why it would be refused.

    Example: snipecart explain --entry 10.0.1.1:7280 rack-registry find-rack
    """
    query = urlencode({"service": service, "kind": kind})
    try:
        response = urllib3.request(
            "GET", f"http://{entry}/explain?{query}", retries=False, timeout=5.0
        )
    except HTTPError as exc:
        click.echo(f"unreachable: {exc}", err=True)
        sys.exit(Exit.UNREACHABLE)
    value = response.json()
    if response.status != 200:
        click.echo(f"refused: {value}", err=True)
        sys.exit(Exit.FAILED)
    head = value["refusal"] or "would be served"
    lines = [f"{head} {value['detail']}".rstrip(), f"text is {value['freshness']}"]
    for end in value["endpoints"]:
        lines.append(
            f"  {end['endpoint']} in {end['zone']}: {end['in_flight']} of "
            f"{end['usable']} usable slots, {end['health']}, {end['state']}"
        )
    _print(value, lines, as_json)


main.add_command(fleet)
main.add_command(where)


if __name__ == "__main__":
    main()
