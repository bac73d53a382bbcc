"""Draw a tally as one HTML page that needs nothing else."""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING

import pygal

from .summary import ANSWERED

if TYPE_CHECKING:
    from .summary import LogSummary

PLOT_WIDTH, PLOT_HEIGHT = 1100, 360
"""Pixels of a plot."""

MAX_LISTED_EVENTS = 400
"""Events that a page lists."""

QUANTILES = (0.5, 0.9, 0.99)


def render_page(summary: LogSummary, title: str) -> str:
    """Return the page."""
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{escape(title)}</title>",
        "<style>body{font-family:sans-serif;max-width:1150px;margin:auto}"
        "td,th{padding:0 .7em;text-align:right}</style>",
        f"<h1>{escape(title)}</h1>",
        "<h2>Requests by second and end</h2>",
        _plot_ends(summary),
        "<h2>Time to the answer, ms</h2>",
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
    for reason in summary.reasons():
        counts = [
            summary.ends_by_second.get(at, {}).get(reason, 0)
            for at in _seconds(summary)
        ]
        chart.add(reason, counts)
    return chart.render(is_unicode=True)


def _plot_latency(summary: LogSummary) -> str:
    chart = pygal.Line(width=PLOT_WIDTH, height=PLOT_HEIGHT, js=(), show_x_labels=False)
    for quantile in QUANTILES:
        stats = (summary.stats_by_second.get(at) for at in _seconds(summary))
        times = [item.quantile_ms(quantile) or None if item else None for item in stats]
        chart.add(f"{quantile:.0%}", times)
    return chart.render(is_unicode=True)


def _format_routes(summary: LogSummary) -> str:
    rows = ["<table><tr><th>route<th>answered<th>50%<th>90%<th>99%<th>other ends"]
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
        items.append(f"<li>{omitted} more left out")
    return "<ul>" + "\n".join(items) + "</ul>"
