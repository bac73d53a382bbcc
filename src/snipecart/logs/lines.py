"""Parse log lines into typed records."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from ..core.ids import RequestId
from ..core.ids import UnixSeconds

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from pathlib import Path


@dataclass(frozen=True)
class LogLine:
    """Represent one event that a process logged."""

    source: str
    """Name of the log file."""
    at: UnixSeconds
    event: int
    what: str
    """Text of the event."""
    fields: dict[str, Any]

    @property
    def request(self) -> RequestId:
        """Return the id of the request that the event is about, or an empty id."""
        return RequestId(str(self.fields.get("request", "")))


def parse_line(text: str, source: str) -> LogLine | None:
    """Return the event in a line, or None if the line contains none.

    Text before the first brace is a prefix that a log collector added.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict) or not isinstance(fields.get("event"), int):
        return None
    at = UnixSeconds(float(fields.pop("at", 0.0)))
    event, what = fields.pop("event"), str(fields.pop("what", ""))
    return LogLine(source, at, event, what, fields)


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the events of all files, file after file in their order."""
    for path in paths:
        with path.open(errors="replace") as file:
            for text in file:
                line = parse_line(text, path.name)
                if line is not None:
                    yield line
