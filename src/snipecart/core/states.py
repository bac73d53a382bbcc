"""Define the states, verdicts and outcomes in messages and decisions."""

from __future__ import annotations

from enum import StrEnum


class Rank(StrEnum):
    """List the ranks of calls, the most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    DEFERRABLE = "deferrable"


class CutOffPolicy(StrEnum):
    """List how an entry VM may treat a kind of call while it is cut off.

    It is cut off while no quorum of control processes confirms its configuration.
    """

    SERVE = "serve"
    REFUSE = "refuse"


class Role(StrEnum):
    """List the roles of a control process in the replicated log."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class DiskState(StrEnum):
    """List whether a control process can write to its data folder."""

    WRITABLE = "writable"
    BLOCKED = "blocked"


class ClaimState(StrEnum):
    """List the states of the claim of a request key."""

    HELD = "held"
    ANSWERED = "answered"
    NOT_RUN = "not_run"


class ClaimVerdict(StrEnum):
    """List the answers to a request to claim a key."""

    GRANTED = "granted"
    HELD_ELSEWHERE = "held_elsewhere"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    OTHER_BODY = "other_body"
    KEY_EXPIRED = "key_expired"
    KEY_FROM_FUTURE = "key_from_future"


class SubmitVerdict(StrEnum):
    """List the answers to a submitted configuration."""

    ACCEPTED = "accepted"
    VERSION_CONFLICT = "version_conflict"
    SUBMISSION_REUSED = "submission_reused"


class RoutingVerdict(StrEnum):
    """List the answers to a submitted routing table."""

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    VERSION_REUSED = "version_reused"


class SendOutcome(StrEnum):
    """List how one send of a routed request to a backend server may end."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


class Outcome(StrEnum):
    """List the outcomes of a call that its caller may get."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class EndpointState(StrEnum):
    """List the states that a backend server announces."""

    SERVING = "serving"
    LEAVING = "leaving"


class Health(StrEnum):
    """List the health states of a backend server as one entry process observes it."""

    TRUSTED = "trusted"
    EJECTED = "ejected"
    PROBING = "probing"


class ServerCondition(StrEnum):
    """List the conditions of a backend server, as one gateway observes it."""

    SOUND = "sound"
    COLD = "cold"
    SLOW = "slow"
    FAILING = "failing"
    """Some of its requests fail."""
    EJECTED = "ejected"
    LEAVING = "leaving"
    """It said in an answer that it will end soon."""
    PAUSED = "paused"
    """It asked this gateway to send nothing for a time."""


class MemberState(StrEnum):
    """List the states of an entry process."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class DrainState(StrEnum):
    """List the phases of draining a gateway."""

    OPEN = "open"
    LINGERING = "lingering"
    """Accepts requests, and closes each connection after the answer, so that clients
    send their next request to another gateway."""
    CLOSED = "closed"


class Freshness(StrEnum):
    """List whether a quorum recently confirmed a member's configuration."""

    CONFIRMED = "confirmed"
    CUT_OFF = "cut_off"
    NO_TEXT = "no_text"


class DispatchOutcome(StrEnum):
    """List how one dispatch of a call to a backend server may end."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    SHED = "shed"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    FAILED = "failed"


class RetryReason(StrEnum):
    """List the reasons for dispatching a call again."""

    NOT_SENT = "not_sent"
    SHED = "shed"
    BROKEN = "broken"
    FAILED = "failed"
