"""Run a program until a signal or a failed task stops it."""

from __future__ import annotations

import enum
import os
import signal
import sys
import threading
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import click
import logbook

from ..core.events import PROGRAM_STARTED
from ..core.events import PROGRAM_STOPPED
from ..core.events import PROGRAM_STOPPING
from ..core.events import SETTINGS_RELOADED
from ..core.events import STOP_FORCED
from ..core.events import emit
from ..core.task import ANY_TASK_FAILED
from .log import logging_json
from .reload import SettingsReloader
from .settings import Section
from .settings import describe_faults
from .settings import load_settings

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from pathlib import Path

EXIT_FAILED = 1
EXIT_INVALID_SETTINGS = 2

FAILURE_POLL_INTERVAL = 0.5
"""Seconds between two checks for a failed task."""

STOP_TIMEOUT = 90.0
"""Maximum seconds that a stop may take, including the drain and late answers."""

SWITCH_INTERVAL = 0.001
"""Seconds that a thread may hold the interpreter lock while other threads wait."""


class LogFormat(enum.Enum):
    """List the formats of log lines."""

    TEXT = "text"
    JSON = "json"


def format_text(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Return an event as one line of text."""
    fields = [f"{key}={value}" for key, value in record.extra["fields"].items()]
    prefix = f"{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name}"
    return " ".join([prefix, f"E{record.extra['event']}", record.msg, *fields])


def load_settings_or_exit(model: type[Section], path: Path) -> Any:
    """Return the settings, or print all faults in one line and exit with status 2."""
    loaded = load_settings(model, path)
    if loaded.is_error():
        click.echo(f"settings refused: {describe_faults(loaded.error)}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    return loaded.ok


@contextmanager
def logging_to_stderr(level: str) -> Iterator[None]:
    """Log events of at least ``level`` to standard error until the block ends."""
    handler = logbook.StderrHandler(level=logbook.lookup_level(level.upper()))
    handler.formatter = format_text
    with handler.applicationbound():
        yield


@dataclass(frozen=True)
class SignalEvents:
    """Store the events that signals to the process set."""

    stop: threading.Event
    reload: threading.Event


@contextmanager
def handling_signals() -> Iterator[SignalEvents]:
    """Yield events: SIGTERM and SIGINT set ``stop``, SIGHUP sets ``reload``."""
    events = SignalEvents(threading.Event(), threading.Event())

    def on_signal(number: int, frame: Any) -> None:
        event = events.reload if number == signal.SIGHUP else events.stop
        event.set()

    previous_handlers = {
        number: signal.signal(number, on_signal)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    }
    try:
        yield events
    finally:
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)


def _force_exit_after(seconds: float, name: str) -> None:
    """Exit at once if the process still runs after a number of seconds."""

    def force_exit() -> None:
        emit(STOP_FORCED, program=name)
        os._exit(EXIT_FAILED)

    timer = threading.Timer(seconds, force_exit)
    timer.daemon = True
    timer.start()


def _reload_if_due(name: str, running: Any, signalled: threading.Event) -> None:
    """Reload the settings after a signal, or if their file has changed without one."""
    reloader = running if isinstance(running, SettingsReloader) else None
    if not signalled.is_set() and not (reloader and reloader.has_changed()):
        return
    signalled.clear()
    taken = reloader is not None and reloader.reload()
    emit(SETTINGS_RELOADED, program=name, taken=taken)


def run_until_stopped(
    name: str,
    level: str,
    body: Callable[..., Any],
    log_format: LogFormat = LogFormat.TEXT,
) -> int:
    """Run a program until a signal or a failed task stops it; return its exit status.

    ``body`` is a context manager that runs the program and may drain when it exits.
    If it yields a SettingsReloader, settings are reloaded on SIGHUP and when their file
    has changed.
    """
    sys.setswitchinterval(SWITCH_INTERVAL)
    logging = logging_json if log_format is LogFormat.JSON else logging_to_stderr
    with logging(level), handling_signals() as events:
        with body() as running:
            emit(PROGRAM_STARTED, program=name)
            while (
                not events.stop.wait(FAILURE_POLL_INTERVAL)
                and not ANY_TASK_FAILED.is_set()
            ):
                _reload_if_due(name, running, events.reload)
            emit(PROGRAM_STOPPING, program=name)
            _force_exit_after(STOP_TIMEOUT, name)
        emit(PROGRAM_STOPPED, program=name)
    return EXIT_FAILED if ANY_TASK_FAILED.is_set() else 0
