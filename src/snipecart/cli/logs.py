"""Explain requests and summarize periods from log files."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click

from ..core.ids import RequestId
from ..logs.lines import read_lines
from ..logs.summary import summarize_lines
from ..logs.trace import RequestTrace
from ..logs.trace import trace_request
from ..program.answers import to_json
from .exits import Exit
from .options import AS_JSON

LOG_FILES = click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)


@click.group()
@click.version_option(package_name="snipecart")
def main() -> None:
    """Explain requests and incidents from the logs of gateways and control processes.

    Example: snipecart-logs trace 47f2d3c9bee7a50c gateway-*.log
    """


@main.command()
@click.argument("request")
@LOG_FILES
@AS_JSON
def trace(request: str, files: tuple[Path, ...], as_json: bool) -> None:
    """Show how a request ended, why, and what its servers did around that time.

    Example: snipecart-logs trace 47f2d3c9bee7a50c gateway-*.log
    """
    request_trace = trace_request(read_lines(files), RequestId(request))
    if request_trace is None:
        click.echo(f"no log line in these files is about request {request}", err=True)
        sys.exit(Exit.FAILED)
    if as_json:
        click.echo(to_json(_describe_trace(request_trace)).decode())
        return
    click.echo("\n".join(_format_trace(request_trace)))


def _describe_trace(request_trace: RequestTrace) -> dict[str, Any]:
    servers = {
        name: {"ends": record.ends, "median_ms": record.median_ms}
        for name, record in request_trace.servers.items()
    }
    last_fields = {"at": request_trace.last_line.at, **request_trace.last_line.fields}
    return {"cause": request_trace.cause, "ended": last_fields, "servers": servers}


def _format_trace(request_trace: RequestTrace) -> list[str]:
    fields = request_trace.last_line.fields
    lines = [
        f"{request_trace.last_line.source} at {request_trace.last_line.at:.3f}:"
        f" {request_trace.cause}",
        f"route {fields.get('route') or 'none'},"
        f" routing table {fields.get('version', 0)},"
        f" object {fields.get('object') or 'none'},"
        f" {fields.get('ms', 0)} ms in the gateway",
    ]
    for send in fields.get("sends", ()):
        lines.append(
            f"  {send['instance']}: {send['end']} after {send['ms']} ms,"
            f" load {send['load']}, load report {send['report_ms']} ms old"
        )
        record = request_trace.servers[send["instance"]]
        others = ", ".join(f"{end} {count}" for end, count in record.ends.items())
        lines.append(
            f"    other sends there: {others or 'none'}, median {record.median_ms} ms"
        )
        lines += [f"    {line.at:.3f} {line.what}" for line in record.events]
    return lines


@main.command()
@LOG_FILES
@click.option("--out", type=click.Path(path_type=Path), required=True)
@click.option("--title", default="snipecart", help="Title of the page.")
def report(files: tuple[Path, ...], out: Path, title: str) -> None:
    """Render load, refusals, latency and events of a period as one HTML page.

    Example: snipecart-logs report --out day.html gateway-*.log control-*.log
    """
    from ..logs.page import render_page

    summary = summarize_lines(read_lines(files))
    out.write_text(render_page(summary, title))
    request_count = sum(sum(ends.values()) for ends in summary.ends_by_second.values())
    click.echo(f"{request_count} requests, {len(summary.events)} events: {out}")


if __name__ == "__main__":
    main()
