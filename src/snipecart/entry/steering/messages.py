"""Declare what the steering task is told, and what it answers."""

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
    """Ask for a slot of a backend server for a call."""

    call: CallId
    service: ServiceName
    kind: KindName
    caller: CallerName
    deadline: Instant


@dataclass(frozen=True)
class RetrySlotRequest:
    """Ask for another slot after a dispatch that may be repeated."""

    call: CallId
    reason: RetryReason


@dataclass(frozen=True)
class RecordDispatch:
    """Tell how a dispatch ended; the slot is free again."""

    call: CallId
    end: DispatchOutcome
    seconds: float
    load: float
    """Load that the backend server reported, slots in use to slots; below 0, none."""


@dataclass(frozen=True)
class EndCall:
    """Tell that a call no longer wants a slot, whether it has one or waits."""

    call: CallId


@dataclass(frozen=True)
class ApplyConfiguration:
    """Act on a text from now on."""

    version: TextVersion
    text: Text


@dataclass(frozen=True)
class ApplyHeartbeatAnswer:
    """Take a heartbeat's answer; leases run from when the heartbeat was sent."""

    answer: HeartbeatAnswer
    sent: Instant


@dataclass(frozen=True)
class ApplyAnnouncement:
    """Take a backend server's own announcement."""

    announcement: Announcement


@dataclass(frozen=True)
class SetDraining:
    """Let callers go elsewhere, while those that still come are served."""


@dataclass(frozen=True)
class SetStopping:
    """Take no new calls from now on."""


@dataclass(frozen=True)
class Tick:
    """Let time pass."""


@dataclass(frozen=True)
class Slot:
    """Lend a slot of a backend server to a call."""

    call: CallId
    endpoint: EndpointId
    attempt_timeout: float
    """Seconds after which another try is better than waiting on."""


@dataclass(frozen=True)
class SlotGrant:
    """Answer an ask with a slot."""

    call: CallId
    slot: Slot


@dataclass(frozen=True)
class Refusal:
    """Answer an ask with the reason why there is none."""

    call: CallId
    failure: Failure
