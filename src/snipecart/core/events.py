"""Define the numbered log events."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import logbook

log = logbook.Logger("snipecart")


@dataclass(frozen=True)
class Event:
    """Describe a log event: its number, log level and message."""

    number: int
    level: int
    text: str


CATALOGUE: dict[int, Event] = {}
"""All events by number; docs/EVENTS.md lists them."""


class DuplicateEventNumber(Exception):
    """Report a second event with the number of another one."""


def register_event(number: int, level: int, text: str) -> Event:
    """Add an event to the catalogue, or raise DuplicateEventNumber."""
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
STOP_FORCED = register_event(
    1006, logbook.ERROR, "graceful stop timed out, exiting at once"
)
PEER_CONNECTED = register_event(1101, logbook.INFO, "peer connected")
PEER_LOST = register_event(1102, logbook.INFO, "peer connection lost")
PEER_MESSAGE_REJECTED = register_event(
    1103, logbook.WARNING, "invalid peer message rejected"
)
MESSAGE_UNENCODABLE = register_event(
    1104, logbook.ERROR, "message dropped, as a value exceeds its field"
)
BECAME_LEADER = register_event(2001, logbook.NOTICE, "became leader")
LOST_LEADERSHIP = register_event(2002, logbook.NOTICE, "lost leadership")
VOTERS_CHANGED = register_event(
    2003, logbook.NOTICE, "voters or learners of the log changed"
)
SNAPSHOT_TAKEN = register_event(2004, logbook.INFO, "snapshot taken")
SNAPSHOT_INSTALLED = register_event(2005, logbook.NOTICE, "snapshot installed")
LOG_TAIL_TRUNCATED = register_event(
    2006, logbook.WARNING, "incomplete record at end of log truncated"
)
LOG_CORRUPT = register_event(
    2007, logbook.CRITICAL, "log corrupt before its end, or snapshot corrupt"
)
DISK_BLOCKED = register_event(
    2008, logbook.ERROR, "data folder can't be written, nothing is acknowledged"
)
DISK_RECOVERED = register_event(
    2009, logbook.NOTICE, "data folder can be written again"
)
LOG_CAUGHT_UP = register_event(
    2010, logbook.INFO, "log has all that was committed before the start"
)
QUORUM_AT_RISK = register_event(
    2011, logbook.WARNING, "log would lose its quorum with one more voter"
)
QUORUM_SAFE = register_event(2012, logbook.NOTICE, "log can lose a voter again")
ELECTION_FAILED = register_event(
    2013, logbook.WARNING, "no leader elected, too few votes"
)
LOG_RECOVERED = register_event(
    2014, logbook.WARNING, "log recovered by an operator, it has a single voter"
)
TEXT_ACCEPTED = register_event(2101, logbook.NOTICE, "configuration accepted")
TEXT_IN_FORCE = register_event(3001, logbook.NOTICE, "configuration in force")
CONTROL_CUT_OFF = register_event(
    3002, logbook.WARNING, "configuration not confirmed by a quorum"
)
CONTROL_CONFIRMED = register_event(
    3003, logbook.NOTICE, "configuration confirmed by a quorum"
)
ENDPOINT_ANNOUNCED = register_event(3101, logbook.INFO, "backend server announced")
ENDPOINT_LEAVING = register_event(3102, logbook.INFO, "backend server is leaving")
ENDPOINT_EXPIRED = register_event(
    3103, logbook.INFO, "backend server no longer announced"
)
ENDPOINT_EJECTED = register_event(3104, logbook.WARNING, "backend server ejected")
ENDPOINT_READMITTED = register_event(3105, logbook.NOTICE, "backend server readmitted")
LATE_ANSWER = register_event(3201, logbook.WARNING, "late answer recorded")
ANSWER_NOT_RECORDED = register_event(
    3202, logbook.ERROR, "answer could not be recorded"
)
INSTANCE_CHANGED = register_event(2201, logbook.INFO, "backend server added or changed")
INSTANCE_GONE = register_event(2202, logbook.INFO, "backend server removed")
HEARTBEAT_STALE = register_event(
    2203, logbook.INFO, "outdated heartbeat of a backend server ignored"
)
HEARTBEAT_UNCONFIRMED = register_event(
    2204, logbook.WARNING, "heartbeat not confirmed in time"
)
HEARTBEAT_MALFORMED = register_event(
    2205, logbook.WARNING, "malformed heartbeat rejected"
)
DEPARTURES_RECORDED = register_event(
    2206, logbook.INFO, "departures of backend servers recorded"
)
GATEWAY_ACTIVE = register_event(2211, logbook.NOTICE, "gateway active")
GATEWAY_INACTIVE = register_event(2212, logbook.NOTICE, "gateway silent or leaving")
ROUTING_ACCEPTED = register_event(2301, logbook.NOTICE, "routing table accepted")
ROUTING_REFUSED = register_event(2302, logbook.WARNING, "routing table rejected")
EVACUATION_CHANGED = register_event(
    2303, logbook.NOTICE, "evacuated availability zones changed"
)
SERVER_UPDATED = register_event(
    3301, logbook.INFO, "backend server added or changed state"
)
SERVER_REMOVED = register_event(
    3302, logbook.INFO, "backend server removed from gateway"
)
SERVER_EJECTED = register_event(
    3303, logbook.WARNING, "backend server ejected after failures"
)
SERVER_RATE_LIMIT = register_event(
    3304, logbook.NOTICE, "rate limit of a backend server changed"
)
SERVER_LEAVING = register_event(
    3305, logbook.INFO, "backend server says that it leaves"
)
SERVER_PAUSED = register_event(3306, logbook.INFO, "backend server asks for a pause")
ROUTING_IN_FORCE = register_event(3311, logbook.NOTICE, "routing table in force")
ROUTING_UNREADABLE = register_event(3312, logbook.ERROR, "routing table invalid")
EVACUATION_IN_FORCE = register_event(
    3313, logbook.NOTICE, "evacuated availability zones in force"
)
SYNC_SOURCE_SELECTED = register_event(
    3321, logbook.NOTICE, "control process selected for synchronization"
)
SYNC_SOURCE_LOST = register_event(3322, logbook.WARNING, "no control process responds")
KEY_PROOF_LOST = register_event(
    3331, logbook.WARNING, "routing table not proved current, API keys not admitted"
)
KEY_PROOF_GAINED = register_event(
    3332, logbook.NOTICE, "routing table proved current, API keys admitted"
)
QUOTA_LEADER_SELECTED = register_event(
    3341, logbook.NOTICE, "leader answers reports on organisations' rate limits"
)
QUOTA_LEADER_LOST = register_event(
    3342, logbook.WARNING, "no leader answers reports on organisations' rate limits"
)
REQUEST_ENDED = register_event(3401, logbook.INFO, "request ended")
CLIENT_DISCONNECTED = register_event(
    3402, logbook.INFO, "client disconnected, request cancelled"
)
REQUEST_MALFORMED = register_event(3403, logbook.WARNING, "malformed request rejected")
REQUEST_UNREAD = register_event(
    3404, logbook.WARNING, "request rejected, its body was not read completely"
)
REQUEST_LATE = register_event(3405, logbook.WARNING, "request ended after its deadline")
LOG_LINES_DROPPED = register_event(1007, logbook.WARNING, "log lines dropped")
SETTINGS_RELOADED = register_event(1008, logbook.NOTICE, "settings reloaded")
SERVER_ERROR = register_event(1009, logbook.ERROR, "HTTP server reported an error")
REQUEST_FAILED = register_event(
    1014, logbook.ERROR, "handling a request failed, it was refused"
)
SETTINGS_REFUSED = register_event(1010, logbook.ERROR, "new settings rejected")
SETTING_CHANGED = register_event(1012, logbook.NOTICE, "setting changed")
HTTP_THREAD_BLOCKED = register_event(
    1013, logbook.WARNING, "HTTP server's own thread was blocked"
)
HEAD_TIMED_OUT = register_event(
    1011, logbook.WARNING, "head of a request did not arrive in time"
)
PLACEMENT_BEGUN = register_event(
    2401, logbook.NOTICE, "placement plan covers a service"
)
PLACEMENT_ENDED = register_event(
    2402, logbook.NOTICE, "placement plan no longer covers a service"
)
PLACEMENT_LED = register_event(
    2403, logbook.NOTICE, "placement plan led by this process"
)
PLACEMENT_STALE = register_event(
    3351, logbook.WARNING, "placement plan not confirmed, regional order used"
)
PLACEMENT_APPLIED = register_event(3352, logbook.NOTICE, "placement plan in use")
GATEWAY_OUT_OF_SYNC = register_event(
    2213, logbook.WARNING, "gateway has different backend servers"
)
