"""Name the states that messages and decisions speak of."""

from __future__ import annotations

from enum import StrEnum


class Rank(StrEnum):
    """Order calls by urgency, the most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    DEFERRABLE = "deferrable"


class CutOffPolicy(StrEnum):
    """Say what an entry VM does with a kind while it is cut off from control."""

    SERVE = "serve"
    REFUSE = "refuse"


class Role(StrEnum):
    """Name the part a control process plays in the replicated log."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ClaimState(StrEnum):
    """Follow the claim of one request key."""

    HELD = "held"
    ANSWERED = "answered"
    NOT_RUN = "not_run"


class ClaimVerdict(StrEnum):
    """Answer a request to claim a key."""

    GRANTED = "granted"
    HELD_ELSEWHERE = "held_elsewhere"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    OTHER_BODY = "other_body"
    KEY_EXPIRED = "key_expired"
    KEY_FROM_FUTURE = "key_from_future"


class SubmitVerdict(StrEnum):
    """Answer a submitted text."""

    ACCEPTED = "accepted"
    VERSION_CONFLICT = "version_conflict"
    SUBMISSION_REUSED = "submission_reused"


class RoutingVerdict(StrEnum):
    """Answer an offered routing table."""

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    VERSION_REUSED = "version_reused"


class SendOutcome(StrEnum):
    """Say how one send of a routed request to a backend server ended."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


class Outcome(StrEnum):
    """Tell a caller what became of a call."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class EndpointState(StrEnum):
    """Follow a backend server as announced."""

    SERVING = "serving"
    LEAVING = "leaving"


class Health(StrEnum):
    """Follow a backend server as observed by one entry process."""

    TRUSTED = "trusted"
    EJECTED = "ejected"
    PROBING = "probing"


class ServerCondition(StrEnum):
    """Say how a gateway finds a backend server by its own sends."""

    SOUND = "sound"
    COLD = "cold"
    SLOW = "slow"
    FAILING = "failing"
    """Fails a part of its requests."""
    EJECTED = "ejected"


class MemberState(StrEnum):
    """Follow an entry process."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class DrainState(StrEnum):
    """Say which requests a gateway takes."""

    OPEN = "open"
    LINGERING = "lingering"
    """Takes requests, and asks clients to go elsewhere for the next."""
    CLOSED = "closed"


class Freshness(StrEnum):
    """Say whether a quorum has lately confirmed the text a member holds."""

    CONFIRMED = "confirmed"
    CUT_OFF = "cut_off"
    NO_TEXT = "no_text"


class DispatchOutcome(StrEnum):
    """Say how one dispatch to a backend server ended."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    SHED = "shed"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    FAILED = "failed"


class RetryReason(StrEnum):
    """Say why a call was dispatched again."""

    NOT_SENT = "not_sent"
    SHED = "shed"
    BROKEN = "broken"
    FAILED = "failed"
