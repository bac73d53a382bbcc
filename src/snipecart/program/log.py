"""Log events as JSON lines on standard output, rate-limited and without blocking."""

from __future__ import annotations

import json
import os
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import Any

import logbook

from ..core.events import LOG_LINES_DROPPED
from ..core.task import Task

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..core.ids import Instant

STDOUT_FD = 1

MAX_LINES_PER_SECOND = 400
"""Maximum lines of one event per second; further ones are counted and dropped."""

MAX_WAITING_LINES = 4096
"""Maximum number of waiting lines; further ones are counted and dropped."""


class LogWriterTask(Task):
    """Write log lines to standard output, so that logging never blocks other tasks.

    Lines that can't be written, as on a full disk, are counted and dropped.
    """

    def __init__(self) -> None:
        super().__init__("log", MAX_WAITING_LINES)
        self._dropped = 0

    def handle(self, batch: list[bytes], now: Instant) -> None:
        """Write all waiting lines, in one call if the reader takes them at once."""
        if self._dropped:
            # The last line may have been written in part only.
            report = b"\n" + encode_dropped(time.time(), self._dropped)
            if _count_unwritten(report) == 0:
                self._dropped = 0
        self._dropped += _count_unwritten(b"".join(batch))


def _count_unwritten(lines: bytes) -> int:
    """Write lines, and return how many could not be written whole."""
    rest = memoryview(lines)
    try:
        while rest:
            rest = rest[os.write(STDOUT_FD, rest) :]
    except OSError:
        return bytes(rest).count(b"\n")
    return 0


class JsonHandler(logbook.Handler):
    """Format events as lines, and drop those above the rate limit."""

    def __init__(self, level: int, writer: LogWriterTask) -> None:
        super().__init__(level=level)
        self._writer = writer
        self._current_second = 0
        self._event_counts: dict[int, int] = {}
        self._dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Pass one event to the writer, or count it as dropped."""
        timestamp = record.time.timestamp()
        event_number = record.extra["event"]
        if int(timestamp) != self._current_second:
            self._start_second(timestamp)
        self._event_counts[event_number] = self._event_counts.get(event_number, 0) + 1
        if self._event_counts[event_number] > MAX_LINES_PER_SECOND:
            self._dropped += 1
            return
        fields = {
            "at": round(timestamp, 3),
            "event": event_number,
            "level": record.level_name,
            "what": record.msg,
            **record.extra["fields"],
        }
        if not self._writer.post(encode_line(fields)):
            self._dropped += 1

    def _start_second(self, timestamp: float) -> None:
        self._current_second = int(timestamp)
        self._event_counts.clear()
        if self._dropped:
            line = encode_dropped(timestamp, self._dropped)
            self._dropped = 0
            self._writer.post(line)


def encode_line(fields: dict[str, Any]) -> bytes:
    """Return the fields as one line of JSON."""
    return json.dumps(fields, default=str, separators=(",", ":")).encode() + b"\n"


def encode_dropped(timestamp: float, count: int) -> bytes:
    """Return the line that reports how many lines were dropped."""
    fields: dict[str, Any] = {
        "at": round(timestamp, 3),
        "event": LOG_LINES_DROPPED.number,
        "level": logbook.get_level_name(LOG_LINES_DROPPED.level),
        "what": LOG_LINES_DROPPED.text,
        "count": count,
    }
    return encode_line(fields)


@contextmanager
def logging_json(level: str) -> Iterator[None]:
    """Log events of at least ``level`` to standard output until the block ends."""
    writer = LogWriterTask()
    writer.start()
    handler = JsonHandler(logbook.lookup_level(level.upper()), writer)
    try:
        with handler.applicationbound():
            yield
    finally:
        writer.stop(0.5)
