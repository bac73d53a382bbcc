"""Render a summary of logs as a self-contained HTML page."""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING

import pygal

from .summary import ANSWERED

if TYPE_CHECKING:
    from .summary import LogSummary

PLOT_WIDTH, PLOT_HEIGHT = 1100, 360
"""Size of a plot in pixels."""

MAX_LISTED_EVENTS = 400
"""Maximum number of events that a page lists."""

QUANTILES = (0.5, 0.9, 0.99)


def render_page(summary: LogSummary, title: str) -> str:
    """Return a summary as an HTML page."""
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{escape(title)}</title>",
        "<style>body{font-family:sans-serif;max-width:1150px;margin:auto}"
        "td,th{padding:0 .7em;text-align:right}</style>",
        f"<h1>{escape(title)}</h1>",
        "<h2>Requests per second by outcome</h2>",
        _plot_ends(summary),
        "<h2>Latency of answers, ms</h2>",
        _plot_latency(summary),
        "<h2>Routes</h2>",
        _format_routes(summary),
        "<h2>Events</h2>",
        _format_events(summary),
    ]
    return "\n".join(parts)


def _seconds(summary: LogSummary) -> range:
    return range(max(summary.ends_by_second, default=0) + 1)


def _plot_ends(summary: LogSummary) -> str:
    chart = pygal.StackedBar(
        width=PLOT_WIDTH, height=PLOT_HEIGHT, js=(), show_x_labels=False
    )
    for outcome in summary.outcomes():
        counts = [
            summary.ends_by_second.get(at, {}).get(outcome, 0)
            for at in _seconds(summary)
        ]
        chart.add(outcome, counts)
    return chart.render(is_unicode=True)


def _plot_latency(summary: LogSummary) -> str:
    chart = pygal.Line(width=PLOT_WIDTH, height=PLOT_HEIGHT, js=(), show_x_labels=False)
    for quantile in QUANTILES:
        stats = (summary.stats_by_second.get(at) for at in _seconds(summary))
        times = [item.quantile_ms(quantile) or None if item else None for item in stats]
        chart.add(f"{quantile:.0%}", times)
    return chart.render(is_unicode=True)


def _format_routes(summary: LogSummary) -> str:
    rows = ["<table><tr><th>route<th>answered<th>50%<th>90%<th>99%<th>other outcomes"]
    for name, stats in sorted(summary.stats_by_route.items()):
        other_ends = ", ".join(
            f"{end} {count}"
            for end, count in stats.ends.most_common()
            if end != ANSWERED
        )
        times = "".join(f"<td>{stats.quantile_ms(quantile)}" for quantile in QUANTILES)
        label = escape(name or "none")
        rows.append(
            f"<tr><td>{label}<td>{stats.ends[ANSWERED]}{times}<td>{escape(other_ends)}"
        )
    return "\n".join([*rows, "</table>"])


def _format_events(summary: LogSummary) -> str:
    items = [
        f"<li>{line.at - summary.started_at:.1f} s {escape(line.source)}: {line.event}"
        f" {escape(line.what)} {escape(str(line.fields))}"
        for line in summary.events[:MAX_LISTED_EVENTS]
    ]
    omitted = len(summary.events) - len(items)
    if omitted > 0:
        items.append(f"<li>{omitted} more events omitted")
    return "<ul>" + "\n".join(items) + "</ul>"
