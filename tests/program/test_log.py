"""Test that log lines are written whole and that dropped ones are told."""

from __future__ import annotations

import errno
import json
import os

import logbook
import pytest

from snipecart.core.events import PROGRAM_STARTED
from snipecart.core.events import emit
from snipecart.logs.lines import parse_line
from snipecart.program import log
from snipecart.program.log import JsonHandler
from snipecart.program.log import LogWriterTask


def test_lines_that_the_reader_takes_in_parts_are_written_whole(monkeypatch):
    written = []

    def write_a_part(descriptor, data):
        part = bytes(data[:7])
        written.append(part)
        return len(part)

    monkeypatch.setattr(os, "write", write_a_part)
    LogWriterTask().handle([b'{"event":1}\n', b'{"event":2}\n'], 0.0)
    assert b"".join(written) == b'{"event":1}\n{"event":2}\n'


def test_a_full_disk_drops_log_lines_and_ends_no_process(monkeypatch):
    disk, room = bytearray(), 20

    def write_while_there_is_room(descriptor, data):
        part = bytes(data[: room - len(disk)])
        if not part:
            raise OSError(errno.ENOSPC, "No space left on device")
        disk.extend(part)
        return len(part)

    monkeypatch.setattr(os, "write", write_while_there_is_room)
    writer = LogWriterTask()
    writer.handle([b'{"event":1}\n', b'{"event":2}\n', b'{"event":3}\n'], 0.0)
    writer.handle([b'{"event":4}\n'], 0.0)
    room = 1000
    writer.handle([b'{"event":5}\n'], 0.0)
    writer.handle([b'{"event":6}\n'], 0.0)
    parsed = [parse_line(text, "log") for text in disk.decode().splitlines()]
    events = [line for line in parsed if line is not None]
    assert [line.event for line in events] == [1, 1007, 5, 6]
    assert events[1].fields["count"] == 3


@pytest.fixture
def lines(monkeypatch):
    """Return the lines of a handler that takes two lines of an event in a second."""
    monkeypatch.setattr(log, "MAX_LINES_PER_SECOND", 2)
    writer = LogWriterTask()
    posted = []
    monkeypatch.setattr(writer, "post", lambda line: posted.append(line) or True)
    handler = JsonHandler(logbook.INFO, writer)
    with handler.applicationbound():
        for _ in range(5):
            emit(PROGRAM_STARTED)
        handler._current_second -= 1
        emit(PROGRAM_STARTED)
    return [json.loads(line) for line in posted]


def test_dropped_lines_are_counted_at_a_level_that_reports_list(lines):
    assert [item["event"] for item in lines] == [1001, 1001, 1007, 1001]
    assert (lines[2]["count"], lines[2]["level"]) == (3, "WARNING")
