"""Number the events that logs carry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import logbook

log = logbook.Logger("snipecart")


@dataclass(frozen=True)
class Event:
    """Describe one numbered event."""

    number: int
    level: int
    text: str


CATALOGUE: dict[int, Event] = {}


class EventNumberTaken(Exception):
    """Report two events with one number."""


def event(number: int, level: int, text: str) -> Event:
    """File an event in the catalogue."""
    if number in CATALOGUE:
        raise EventNumberTaken(str(number))
    CATALOGUE[number] = Event(number, level, text)
    return CATALOGUE[number]


def emit(what: Event, **fields: Any) -> None:
    """Log an event with its number and fields."""
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    log.log(what.level, f"E{what.number} {what.text} {pairs}".rstrip())


PROGRAM_STARTED = event(1001, logbook.NOTICE, "program started")
PROGRAM_STOPPING = event(1002, logbook.NOTICE, "program stopping, draining")
PROGRAM_STOPPED = event(1003, logbook.NOTICE, "program stopped")
TASK_FAILED = event(1005, logbook.CRITICAL, "task failed")
STOP_FORCED = event(1006, logbook.ERROR, "stop took too long, forced")
PEER_CONNECTED = event(1101, logbook.INFO, "peer connected")
PEER_LOST = event(1102, logbook.INFO, "peer connection lost")
PEER_REFUSED = event(1103, logbook.WARNING, "peer message refused")
BECAME_LEADER = event(2001, logbook.NOTICE, "became leader")
LOST_LEAD = event(2002, logbook.NOTICE, "no longer leader")
VOTERS_CHANGED = event(2003, logbook.NOTICE, "members of the log changed")
SNAPSHOT_TAKEN = event(2004, logbook.INFO, "snapshot taken")
SNAPSHOT_INSTALLED = event(2005, logbook.NOTICE, "snapshot installed")
LOG_TAIL_CUT = event(2006, logbook.WARNING, "torn log tail cut off")
LOG_CORRUPT = event(2007, logbook.CRITICAL, "log corrupt before its tail")
TEXT_ACCEPTED = event(2101, logbook.NOTICE, "text accepted")
TEXT_IN_FORCE = event(3001, logbook.NOTICE, "text in force here")
CONTROL_CUT_OFF = event(3002, logbook.WARNING, "no quorum confirms the text")
CONTROL_CONFIRMED = event(3003, logbook.NOTICE, "a quorum confirms the text")
ENDPOINT_ANNOUNCED = event(3101, logbook.INFO, "backend server announced itself")
ENDPOINT_LEAVING = event(3102, logbook.INFO, "backend server is leaving")
ENDPOINT_LAPSED = event(3103, logbook.INFO, "backend server is gone")
ENDPOINT_EJECTED = event(3104, logbook.WARNING, "backend server ejected")
ENDPOINT_READMITTED = event(3105, logbook.NOTICE, "backend server readmitted")
LATE_ANSWER = event(3201, logbook.WARNING, "late answer recorded")
RECORD_LOST = event(3202, logbook.ERROR, "answer could not be recorded")
