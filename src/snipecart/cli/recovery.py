"""Compare data folders of control processes, and recover a log without a quorum."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import NoReturn

import click
from expression import Error
from expression import Ok
from expression import Result

from ..control.disk.store import IDENTITY_FILE
from ..control.disk.store import FolderInUse
from ..control.disk.store import append_batch
from ..control.disk.store import lock_data_folder
from ..control.disk.store import lock_existing_folder
from ..control.disk.store import read_data_folder
from ..control.recovery import LogSummary
from ..control.recovery import PeerAddress
from ..control.recovery import RecoveryPlan
from ..control.recovery import plan_recovery
from ..control.recovery import select_newest
from ..control.recovery import summarize_log
from ..core.events import LOG_RECOVERED
from ..core.events import emit
from ..core.failures import AddressUnknown
from ..core.failures import DataFolderBlank
from ..core.failures import DataFolderFailed
from ..core.failures import DataFolderInUse
from ..core.failures import LogCorrupt
from ..core.failures import NeverMember
from ..program.answers import describe_failure
from ..program.answers import to_json
from ..program.run import logging_to_stderr
from .exits import Exit
from .options import AS_JSON

if TYPE_CHECKING:
    from ..core.failures import Failure
    from ..messages.commands import Node

MAX_PORT = 65_535

EXIT_CODES: dict[type[Failure], Exit] = {
    DataFolderBlank: Exit.USAGE,
    NeverMember: Exit.USAGE,
    AddressUnknown: Exit.USAGE,
    DataFolderInUse: Exit.FAILED,
    DataFolderFailed: Exit.FAILED,
    LogCorrupt: Exit.FAILED,
}
"""Exit code of each failure; another folder or option helps against USAGE."""

ADVICE: dict[type[Failure], str] = {
    DataFolderBlank: "no control process has used this folder",
    NeverMember: "the log in this folder never listed its process as a member",
    AddressUnknown: "the log has no address of this process, state --host and --port",
    DataFolderInUse: "stop the process that uses this folder",
    DataFolderFailed: "the folder can't be read or written",
    LogCorrupt: "the log can't be read, use another folder",
}
"""What each failure means to the operator."""


@click.command("log")
@click.option(
    "--data",
    "folders",
    required=True,
    multiple=True,
    type=click.Path(path_type=Path),
    help="Data folder of a control process that doesn't run; may be repeated.",
)
@AS_JSON
def show_log(folders: tuple[Path, ...], as_json: bool) -> None:
    """Show the logs in data folders, and which of them is the newest.

    The folders are not changed. The newest log has the highest term of its last entry,
    and among those the highest index.

    Example: snipecart-control log --data /var/a --data /var/b
    """
    results = {path: _read_summary(path) for path in folders}
    summaries = {path: item.ok for path, item in results.items() if item.is_ok()}
    failures = {path: item.error for path, item in results.items() if item.is_error()}
    newest = select_newest(summaries)
    if as_json:
        click.echo(to_json(_describe_logs(summaries, failures, newest)).decode())
    else:
        for path, summary in summaries.items():
            click.echo("\n".join(_format_summary(path, summary)))
        if len(folders) > 1 and newest:
            scope = " of those that could be read" if failures else ""
            click.echo(f"newest log{scope}: {', '.join(map(str, newest))}")
    for path, failure in failures.items():
        _echo_failure(path, failure)
    if failures:
        sys.exit(max(EXIT_CODES[type(failure)] for failure in failures.values()))


def _read_summary(path: Path) -> Result[LogSummary, Failure]:
    try:
        with lock_existing_folder(path) as folder:
            return read_data_folder(folder).bind(summarize_log)
    except FolderInUse as exc:
        return Error(DataFolderInUse(str(exc)))
    except OSError as exc:
        return Error(DataFolderFailed(repr(exc)))


def _describe_logs(
    summaries: dict[Path, LogSummary],
    failures: dict[Path, Failure],
    newest: tuple[Path, ...],
) -> dict[str, Any]:
    return {
        "logs": {str(path): summary for path, summary in summaries.items()},
        "refused": {
            str(path): describe_failure(failure) for path, failure in failures.items()
        },
        "newest": [str(path) for path in newest],
    }


def _format_summary(path: Path, summary: LogSummary) -> list[str]:
    lines = [
        f"{path}: node {summary.node} on VM {summary.vm}",
        f"  term {summary.term}, last entry {summary.last_index} of term"
        f" {summary.last_term}, known to be committed up to {summary.commit}",
        f"  configuration {summary.committed.configuration},"
        f" routing table {summary.committed.routing}",
    ]
    if summary.latest != summary.committed:
        lines.append(
            "  with the entries not known to be committed: configuration"
            f" {summary.latest.configuration}, routing table {summary.latest.routing}"
        )
    if summary.torn:
        lines.append(
            "  incomplete record at the end, which is removed at the next start"
        )
    lines += [f"  voter {_format_node(node)}" for node in summary.voters]
    lines += [f"  learner {_format_node(node)}" for node in summary.learners]
    return lines


def _format_node(node: Node) -> str:
    return f"{node.node} at {node.host}:{node.port}"


def _echo_failure(path: Path, failure: Failure) -> None:
    advice = ADVICE[type(failure)]
    click.echo(
        f"{path}: refused, {failure.reason}: {advice} ({failure.detail})", err=True
    )


@click.command()
@click.option(
    "--data",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="Data folder with the newest log.",
)
@click.option("--host", help="Address of this process, if it has changed.")
@click.option(
    "--port",
    type=click.IntRange(1, MAX_PORT),
    help="Port of this process for its peers, if it has changed.",
)
@click.option("--yes", is_flag=True, help="Do not ask.")
def recover(path: Path, host: str | None, port: int | None, yes: bool) -> None:
    """Make the process of a data folder the only voter of its log.

    Only for a quorum that is lost for good, with all control processes stopped. Recover
    one folder, the newest, and empty all others before their processes start.

    Example: snipecart-control recover --data /var/a
    """
    if (host is None) != (port is None):
        raise click.UsageError("state both --host and --port, or neither")
    stated = PeerAddress(host, port) if host and port else None
    if not (path / IDENTITY_FILE).exists():
        _refuse(path, DataFolderBlank(str(path)))
    try:
        with lock_data_folder(path) as folder:
            result = _recover(folder, stated, yes)
    except FolderInUse as exc:
        result = Error(DataFolderInUse(str(exc)))
    except OSError as exc:
        result = Error(DataFolderFailed(repr(exc)))
    if result.is_error():
        _refuse(path, result.error)


def _refuse(path: Path, failure: Failure) -> NoReturn:
    _echo_failure(path, failure)
    sys.exit(EXIT_CODES[type(failure)])


def _recover(
    folder: Path, stated: PeerAddress | None, yes: bool
) -> Result[None, Failure]:
    """Show the plan, ask, and append its batch."""
    recovered = read_data_folder(folder)
    if recovered.is_error():
        return Error(recovered.error)
    plan = plan_recovery(recovered.ok, stated)
    if plan.is_error():
        return Error(plan.error)
    click.echo("\n".join(_format_plan(folder, plan.ok)))
    if not yes:
        click.confirm("recover this log?", abort=True)
    with logging_to_stderr("NOTICE"):
        append_batch(folder, recovered.ok, plan.ok.batch)
        _log_recovery(plan.ok)
    click.echo("recovered; empty the other data folders before their processes start")
    return Ok(None)


def _format_plan(folder: Path, plan: RecoveryPlan) -> list[str]:
    removed = [
        *(f"  removes voter {_format_node(node)}" for node in plan.removed_voters),
        *(f"  removes learner {_format_node(node)}" for node in plan.removed_learners),
    ]
    uncommitted = plan.last_index - plan.commit
    return [
        f"{folder}: {_format_node(plan.voter)} becomes the only voter, in term"
        f" {plan.batch.term}",
        *(removed or ["  removes no other member"]),
        f"  commits {uncommitted} entries not known to be committed, after"
        f" {plan.commit} up to {plan.last_index}",
        "  loses what only other data folders have: recover the newest log",
        "All other control processes must be stopped, and their data folders emptied"
        " before they start, or two logs live side by side. Start them without init,"
        " and on the platform with bootstrap = false: they join this log.",
    ]


def _log_recovery(plan: RecoveryPlan) -> None:
    emit(
        LOG_RECOVERED,
        voter=plan.voter.node,
        term=plan.batch.term,
        index=plan.last_index + 1,
        removed=",".join(node.node for node in plan.removed_voters),
        committed=plan.last_index - plan.commit,
    )
