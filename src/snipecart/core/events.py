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


class DuplicateEventNumber(Exception):
    """Report two events with one number."""


def register_event(number: int, level: int, text: str) -> Event:
    """File an event in the catalogue."""
    if number in CATALOGUE:
        raise DuplicateEventNumber(str(number))
    CATALOGUE[number] = Event(number, level, text)
    return CATALOGUE[number]


def emit(event_type: Event, **fields: Any) -> None:
    """Log an event with its number and fields."""
    log.log(
        event_type.level,
        event_type.text,
        extra={"event": event_type.number, "fields": fields},
    )


PROGRAM_STARTED = register_event(1001, logbook.NOTICE, "program started")
PROGRAM_STOPPING = register_event(1002, logbook.NOTICE, "program stopping, draining")
PROGRAM_STOPPED = register_event(1003, logbook.NOTICE, "program stopped")
TASK_FAILED = register_event(1005, logbook.CRITICAL, "task failed")
STOP_FORCED = register_event(1006, logbook.ERROR, "stop took too long, forced")
PEER_CONNECTED = register_event(1101, logbook.INFO, "peer connected")
PEER_LOST = register_event(1102, logbook.INFO, "peer connection lost")
PEER_MESSAGE_REJECTED = register_event(1103, logbook.WARNING, "peer message refused")
BECAME_LEADER = register_event(2001, logbook.NOTICE, "became leader")
LOST_LEADERSHIP = register_event(2002, logbook.NOTICE, "no longer leader")
VOTERS_CHANGED = register_event(2003, logbook.NOTICE, "members of the log changed")
SNAPSHOT_TAKEN = register_event(2004, logbook.INFO, "snapshot taken")
SNAPSHOT_INSTALLED = register_event(2005, logbook.NOTICE, "snapshot installed")
LOG_TAIL_TRUNCATED = register_event(2006, logbook.WARNING, "torn log tail cut off")
LOG_CORRUPT = register_event(2007, logbook.CRITICAL, "log corrupt before its tail")
TEXT_ACCEPTED = register_event(2101, logbook.NOTICE, "text accepted")
TEXT_IN_FORCE = register_event(3001, logbook.NOTICE, "text in force here")
CONTROL_CUT_OFF = register_event(3002, logbook.WARNING, "no quorum confirms the text")
CONTROL_CONFIRMED = register_event(3003, logbook.NOTICE, "a quorum confirms the text")
ENDPOINT_ANNOUNCED = register_event(
    3101, logbook.INFO, "backend server announced itself"
)
ENDPOINT_LEAVING = register_event(3102, logbook.INFO, "backend server is leaving")
ENDPOINT_EXPIRED = register_event(3103, logbook.INFO, "backend server is gone")
ENDPOINT_EJECTED = register_event(3104, logbook.WARNING, "backend server ejected")
ENDPOINT_READMITTED = register_event(3105, logbook.NOTICE, "backend server readmitted")
LATE_ANSWER = register_event(3201, logbook.WARNING, "late answer recorded")
ANSWER_NOT_RECORDED = register_event(
    3202, logbook.ERROR, "answer could not be recorded"
)
INSTANCE_CHANGED = register_event(2201, logbook.INFO, "backend server reported news")
INSTANCE_GONE = register_event(2202, logbook.INFO, "backend server gone")
HEARTBEAT_STALE = register_event(
    2203, logbook.INFO, "late report of a backend server ignored"
)
HEARTBEAT_UNCONFIRMED = register_event(
    2204, logbook.WARNING, "report not confirmed in time"
)
HEARTBEAT_MALFORMED = register_event(2205, logbook.WARNING, "malformed report refused")
GATEWAY_ACTIVE = register_event(2211, logbook.NOTICE, "gateway heard")
GATEWAY_INACTIVE = register_event(2212, logbook.NOTICE, "gateway silent or leaving")
ROUTING_ACCEPTED = register_event(2301, logbook.NOTICE, "routing table accepted")
ROUTING_REFUSED = register_event(2302, logbook.WARNING, "routing table refused")
EVACUATION_CHANGED = register_event(2303, logbook.NOTICE, "evacuated zones changed")
SERVER_UPDATED = register_event(3301, logbook.INFO, "backend server known here")
SERVER_REMOVED = register_event(
    3302, logbook.INFO, "backend server no longer known here"
)
SERVER_EJECTED = register_event(
    3303, logbook.WARNING, "backend server left alone for failures"
)
ROUTING_IN_FORCE = register_event(3311, logbook.NOTICE, "routing table in force here")
ROUTING_UNREADABLE = register_event(3312, logbook.ERROR, "routing table can't be read")
EVACUATION_IN_FORCE = register_event(
    3313, logbook.NOTICE, "evacuated zones in force here"
)
SYNC_SOURCE_SELECTED = register_event(
    3321, logbook.NOTICE, "control process to follow chosen"
)
SYNC_SOURCE_LOST = register_event(3322, logbook.WARNING, "no control process answers")
REQUEST_ENDED = register_event(3401, logbook.INFO, "request ended")
CLIENT_DISCONNECTED = register_event(3402, logbook.INFO, "client left, request cut off")
REQUEST_MALFORMED = register_event(3403, logbook.WARNING, "malformed request refused")
LOG_LINES_DROPPED = register_event(1007, logbook.WARNING, "log lines left out")
SETTINGS_RELOADED = register_event(1008, logbook.NOTICE, "settings reloaded")
SERVER_ERROR = register_event(1009, logbook.ERROR, "HTTP server reported an error")
SETTINGS_REFUSED = register_event(1010, logbook.ERROR, "newer settings refused")
GATEWAY_OUT_OF_SYNC = register_event(
    2213, logbook.WARNING, "gateway holds other instances"
)
