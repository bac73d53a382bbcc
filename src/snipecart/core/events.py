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
    log.log(what.level, what.text, extra={"event": what.number, "fields": fields})


PROGRAM_STARTED = event(1001, logbook.NOTICE, "program started")
PROGRAM_STOPPING = event(1002, logbook.NOTICE, "program stopping, draining")
PROGRAM_STOPPED = event(1003, logbook.NOTICE, "program stopped")
TASK_FAILED = event(1005, logbook.CRITICAL, "task failed")
STOP_FORCED = event(1006, logbook.ERROR, "stop took too long, forced")
PEER_CONNECTED = event(1101, logbook.INFO, "peer connected")
PEER_LOST = event(1102, logbook.INFO, "peer connection lost")
PEER_MESSAGE_REJECTED = event(1103, logbook.WARNING, "peer message refused")
BECAME_LEADER = event(2001, logbook.NOTICE, "became leader")
LOST_LEADERSHIP = event(2002, logbook.NOTICE, "no longer leader")
VOTERS_CHANGED = event(2003, logbook.NOTICE, "members of the log changed")
SNAPSHOT_TAKEN = event(2004, logbook.INFO, "snapshot taken")
SNAPSHOT_INSTALLED = event(2005, logbook.NOTICE, "snapshot installed")
LOG_TAIL_TRUNCATED = event(2006, logbook.WARNING, "torn log tail cut off")
LOG_CORRUPT = event(2007, logbook.CRITICAL, "log corrupt before its tail")
TEXT_ACCEPTED = event(2101, logbook.NOTICE, "text accepted")
TEXT_IN_FORCE = event(3001, logbook.NOTICE, "text in force here")
CONTROL_CUT_OFF = event(3002, logbook.WARNING, "no quorum confirms the text")
CONTROL_CONFIRMED = event(3003, logbook.NOTICE, "a quorum confirms the text")
ENDPOINT_ANNOUNCED = event(3101, logbook.INFO, "backend server announced itself")
ENDPOINT_LEAVING = event(3102, logbook.INFO, "backend server is leaving")
ENDPOINT_EXPIRED = event(3103, logbook.INFO, "backend server is gone")
ENDPOINT_EJECTED = event(3104, logbook.WARNING, "backend server ejected")
ENDPOINT_READMITTED = event(3105, logbook.NOTICE, "backend server readmitted")
LATE_ANSWER = event(3201, logbook.WARNING, "late answer recorded")
ANSWER_NOT_RECORDED = event(3202, logbook.ERROR, "answer could not be recorded")
INSTANCE_CHANGED = event(2201, logbook.INFO, "backend server reported news")
INSTANCE_GONE = event(2202, logbook.INFO, "backend server gone")
HEARTBEAT_STALE = event(2203, logbook.INFO, "late report of a backend server ignored")
HEARTBEAT_UNCONFIRMED = event(2204, logbook.WARNING, "report not confirmed in time")
HEARTBEAT_MALFORMED = event(2205, logbook.WARNING, "malformed report refused")
GATEWAY_ACTIVE = event(2211, logbook.NOTICE, "gateway heard")
GATEWAY_INACTIVE = event(2212, logbook.NOTICE, "gateway silent or leaving")
ROUTING_ACCEPTED = event(2301, logbook.NOTICE, "routing table accepted")
ROUTING_REFUSED = event(2302, logbook.WARNING, "routing table refused")
EVACUATION_CHANGED = event(2303, logbook.NOTICE, "evacuated zones changed")
SERVER_UPDATED = event(3301, logbook.INFO, "backend server known here")
SERVER_REMOVED = event(3302, logbook.INFO, "backend server no longer known here")
SERVER_EJECTED = event(3303, logbook.WARNING, "backend server left alone for failures")
ROUTING_IN_FORCE = event(3311, logbook.NOTICE, "routing table in force here")
ROUTING_UNREADABLE = event(3312, logbook.ERROR, "routing table can't be read")
EVACUATION_IN_FORCE = event(3313, logbook.NOTICE, "evacuated zones in force here")
SYNC_SOURCE_SELECTED = event(3321, logbook.NOTICE, "control process to follow chosen")
SYNC_SOURCE_LOST = event(3322, logbook.WARNING, "no control process answers")
REQUEST_ENDED = event(3401, logbook.INFO, "request ended")
CLIENT_DISCONNECTED = event(3402, logbook.INFO, "client left, request cut off")
REQUEST_MALFORMED = event(3403, logbook.WARNING, "malformed request refused")
LOG_LINES_DROPPED = event(1007, logbook.WARNING, "log lines left out")
SETTINGS_RELOADED = event(1008, logbook.NOTICE, "settings reloaded")
SERVER_ERROR = event(1009, logbook.ERROR, "HTTP server reported an error")
SETTINGS_REFUSED = event(1010, logbook.ERROR, "newer settings refused")
GATEWAY_OUT_OF_SYNC = event(2213, logbook.WARNING, "gateway holds other instances")
