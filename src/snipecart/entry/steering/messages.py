"""Declare the messages of the steering task and its answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...core.failures import Failure
    from ...core.ids import CallerName
    from ...core.ids import CallId
    from ...core.ids import EndpointId
    from ...core.ids import Instant
    from ...core.ids import KindName
    from ...core.ids import ServiceName
    from ...core.ids import TextVersion
    from ...core.states import DispatchOutcome
    from ...core.states import RetryReason
    from ...messages.members import Announcement
    from ...messages.members import HeartbeatAnswer
    from ...text.model import Text


@dataclass(frozen=True)
class SlotRequest:
    """Request a slot of a backend server for a call."""

    call: CallId
    service: ServiceName
    kind: KindName
    caller: CallerName
    deadline: Instant


@dataclass(frozen=True)
class RetrySlotRequest:
    """Request another slot for a call that may be dispatched again."""

    call: CallId
    reason: RetryReason


@dataclass(frozen=True)
class RecordDispatch:
    """Record how a dispatch ended, and free its slot."""

    call: CallId
    end: DispatchOutcome
    seconds: float
    """Response time."""
    load: float
    """Ratio of slots in use to slots in the load report; below 0 if there is none."""


@dataclass(frozen=True)
class EndCall:
    """Remove a call that has ended, and free its slot or its queue entry."""

    call: CallId


@dataclass(frozen=True)
class ApplyConfiguration:
    """Apply a configuration that a quorum has accepted."""

    version: TextVersion
    text: Text


@dataclass(frozen=True)
class ApplyHeartbeatAnswer:
    """Apply the answer to a heartbeat.

    ``sent`` is when the heartbeat was sent; the leases run from then.
    """

    answer: HeartbeatAnswer
    sent: Instant


@dataclass(frozen=True)
class ApplyAnnouncement:
    """Apply an announcement that a backend server made to this process."""

    announcement: Announcement


@dataclass(frozen=True)
class SetDraining:
    """Ask callers to use other entry VMs; calls that still arrive are served."""


@dataclass(frozen=True)
class SetStopping:
    """Refuse new calls from now on."""


@dataclass(frozen=True)
class Tick:
    """Run the periodic work."""


@dataclass(frozen=True)
class Slot:
    """Represent a slot of a backend server that a call occupies."""

    call: CallId
    endpoint: EndpointId
    attempt_timeout: float
    """Seconds after which a retry is likely to be faster than waiting on."""


@dataclass(frozen=True)
class SlotGrant:
    """Answer a request with a slot."""

    call: CallId
    slot: Slot


@dataclass(frozen=True)
class Refusal:
    """Answer a request with the reason why there is no slot."""

    call: CallId
    failure: Failure
