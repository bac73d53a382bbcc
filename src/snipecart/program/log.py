"""Write events as JSON lines to standard output, bounded and without blocking."""

from __future__ import annotations

import json
import os
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import Any

import logbook

from ..core.events import LOG_LINES_DROPPED
from ..core.task import Task

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..core.ids import Instant

STDOUT = 1

LINES_PER_SECOND = 400
"""Lines of one event in a second; more are counted and left out."""

WAITING_LINES = 4096
"""Lines that may wait to be written."""


class WriteTask(Task):
    """Own standard output."""

    def __init__(self) -> None:
        super().__init__("log", WAITING_LINES)

    def handle(self, batch: list[bytes], now: Instant) -> None:
        """Write all waiting lines at once."""
        if batch:
            os.write(STDOUT, b"".join(batch))


class JsonHandler(logbook.Handler):
    """Turn events into lines, and leave out what comes too fast."""

    def __init__(self, level: int, writer: WriteTask) -> None:
        super().__init__(level=level)
        self._writer = writer
        self._second = 0
        self._counts: dict[int, int] = {}
        self._dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Hand one event to the writer."""
        at = record.time.timestamp()
        number = record.extra["event"]
        if int(at) != self._second:
            self._start_second(at)
        self._counts[number] = self._counts.get(number, 0) + 1
        if self._counts[number] > LINES_PER_SECOND:
            self._dropped += 1
            return
        fields = {
            "at": round(at, 3),
            "event": number,
            "level": record.level_name,
            "what": record.msg,
            **record.extra["fields"],
        }
        if not self._writer.post(encode_line(fields)):
            self._dropped += 1

    def _start_second(self, at: float) -> None:
        self._second = int(at)
        self._counts.clear()
        if self._dropped:
            fields: dict[str, Any] = {
                "at": round(at, 3),
                "event": LOG_LINES_DROPPED.number,
                "what": LOG_LINES_DROPPED.text,
                "count": self._dropped,
            }
            self._dropped = 0
            self._writer.post(encode_line(fields))


def encode_line(fields: dict[str, Any]) -> bytes:
    """Return one line of JSON."""
    return json.dumps(fields, default=str, separators=(",", ":")).encode() + b"\n"


@contextmanager
def logging_json(level: str) -> Iterator[None]:
    """Log events of a level and above to standard output."""
    writer = WriteTask()
    writer.start()
    handler = JsonHandler(logbook.lookup_level(level.upper()), writer)
    try:
        with handler.applicationbound():
            yield
    finally:
        writer.stop(0.5)
