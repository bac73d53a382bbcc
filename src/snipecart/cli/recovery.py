"""Compare data folders of control processes that do not run."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import click
from expression import Error
from expression import Result

from ..control.disk.store import FolderInUse
from ..control.disk.store import lock_existing_folder
from ..control.disk.store import read_data_folder
from ..control.recovery import LogSummary
from ..control.recovery import select_newest
from ..control.recovery import summarize_log
from ..core.failures import DataFolderBlank
from ..core.failures import DataFolderFailed
from ..core.failures import DataFolderInUse
from ..core.failures import LogCorrupt
from ..program.answers import describe_failure
from ..program.answers import to_json
from .exits import Exit
from .options import AS_JSON

if TYPE_CHECKING:
    from ..core.failures import Failure
    from ..messages.commands import Node

EXIT_CODES: dict[type[Failure], Exit] = {
    DataFolderBlank: Exit.USAGE,
    DataFolderInUse: Exit.FAILED,
    DataFolderFailed: Exit.FAILED,
    LogCorrupt: Exit.FAILED,
}
"""Exit code of each failure; another folder or option helps against USAGE."""

ADVICE: dict[type[Failure], str] = {
    DataFolderBlank: "no control process has used this folder",
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
