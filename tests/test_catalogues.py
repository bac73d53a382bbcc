"""Test that the tables in docs/ and the schema list every event, metric and message."""

from __future__ import annotations

import re
from pathlib import Path

from prometheus_client import REGISTRY

from snipecart.control import metrics as control_metrics
from snipecart.core.events import CATALOGUE
from snipecart.core.message import MESSAGES
from snipecart.entry import metrics as entry_metrics
from snipecart.gateway import metrics as gateway_metrics
from snipecart.program import metrics as program_metrics
from snipecart.wire.codec import SCHEMA

__all__ = ["control_metrics", "entry_metrics", "gateway_metrics", "program_metrics"]


def rows(page: str) -> list[list[str]]:
    """Return the cells of each table row of a page in docs/."""
    lines = Path("docs", page).read_text().splitlines()
    return [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in lines
        if re.match(r"\| (\d|`)", line)
    ]


def test_events_page_lists_every_event():
    listed = {int(number): text for number, _, text in rows("EVENTS.md")}
    assert listed == {number: item.text for number, item in CATALOGUE.items()}


def test_metrics_page_lists_every_metric():
    listed = {cells[0].strip("`") for cells in rows("METRICS.md")}
    known = {item.name for item in REGISTRY.collect()}
    assert listed == {name for name in known if name.startswith("snipecart")}


def test_schema_lists_every_message():
    assert set(MESSAGES) == set(SCHEMA.Envelope.schema.union_fields)
