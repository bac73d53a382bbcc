"""Renew the leases of this process and fetch newer configurations."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from ..core.events import CONTROL_CONFIRMED
from ..core.events import CONTROL_CUT_OFF
from ..core.events import emit
from ..core.ids import EndpointId
from ..core.ids import Instant
from ..core.ids import Millis
from ..core.states import Freshness
from ..core.states import MemberState
from ..core.task import Task
from ..core.task import monotonic
from ..messages.members import Announcement
from ..messages.members import Demand
from ..messages.members import FetchText
from ..messages.members import Heartbeat
from ..messages.members import HeartbeatAnswer
from ..messages.members import Member
from ..messages.members import Share
from ..messages.members import TextAnswer
from ..text.parse import parse_text
from .metrics import TEXT_CONFIRMED
from .metrics import TEXT_VERSION
from .steering.messages import ApplyAnnouncement
from .steering.messages import ApplyConfiguration
from .steering.messages import ApplyHeartbeatAnswer

if TYPE_CHECKING:
    from .backend import BackendClient
    from .control_client import ControlClient
    from .steering.state import SteeringState
    from .steering.task import SteeringTask

HEARTBEAT_INTERVAL_SECONDS = 0.5
"""Time between two heartbeats."""

HEARTBEAT_TIMEOUT_SECONDS = 2.0
"""Timeout of one heartbeat."""

FETCH_TIMEOUT_SECONDS = 5.0
"""Timeout of fetching a configuration."""


@dataclass(frozen=True)
class SetLeaving:
    """Ask the task to announce to the control processes that this process leaves."""


@dataclass(frozen=True)
class SteeringSummary:
    """Store the part of the steering state that the heartbeat task uses."""

    text_version: int
    directory_version: int
    grant_seen: int
    held: tuple[Share, ...]
    """Shares that this process may use, or still uses."""
    demands: tuple[Demand, ...]
    endpoints: frozenset[EndpointId]
    """Known backend servers; idle connections to others are closed."""


def summarize_steering(state: SteeringState, now: Instant) -> SteeringSummary:
    """Return the versions, shares, demands and endpoints that a heartbeat needs."""
    has_shares = now < state.shares_until and not state.stopping
    shares: list[Share] = []
    for server in state.servers.values():
        amount = max(server.share if has_shares else 0, server.in_flight)
        if amount:
            shares.append(Share(f"slots/{server.info.endpoint}", amount))
    for name, budget in state.links.items():
        if has_shares and budget.share:
            shares.append(Share(name, budget.share))
    demands = [Demand(name, value) for name, value in state.demand.items()]
    return SteeringSummary(
        state.version,
        state.directory_version,
        state.grant_seen,
        tuple(shares),
        tuple(demands),
        frozenset(state.servers),
    )


class HeartbeatTask(Task):
    """Send this member's heartbeats and own the announcements that they contain."""

    def __init__(
        self,
        member: Member,
        control: ControlClient,
        steering: SteeringTask,
        backends: BackendClient,
    ) -> None:
        super().__init__("heartbeat", 4096)
        self._member = member
        self._control, self._steering = control, steering
        self._backends = backends
        self._announcements: dict[EndpointId, tuple[Announcement, Instant]] = {}
        """Latest announcement of each backend server, and when its lease expires."""
        self._next_heartbeat_at = Instant(0.0)
        self._was_confirmed = False

    def next_wait(self, now: Instant) -> float:
        """Return the seconds until the next heartbeat is due."""
        return self._next_heartbeat_at - now

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Record announcements, and send a heartbeat if one is due.

        It is due at once if an announcement differs from the previous one or if this
        process is leaving.
        """
        urgent = False
        for message in batch:
            if isinstance(message, SetLeaving):
                self._member = replace(self._member, state=MemberState.LEAVING)
                urgent = True
            else:
                urgent |= self._record_announcement(message, now)
        if urgent or now >= self._next_heartbeat_at:
            self._next_heartbeat_at = Instant(now + HEARTBEAT_INTERVAL_SECONDS)
            self._send_heartbeat(now)

    def close(self) -> None:
        """Send a last heartbeat, which returns the shares of a drained process."""
        self._send_heartbeat(monotonic())

    def _record_announcement(self, announcement: Announcement, now: Instant) -> bool:
        """Record an announcement; return whether it differs from the previous one."""
        previous = self._announcements.get(announcement.endpoint)
        expires_at = Instant(now + announcement.lease / 1000)
        self._announcements[announcement.endpoint] = (announcement, expires_at)
        self._steering.post_blocking(ApplyAnnouncement(announcement))
        return previous is None or previous[0] != announcement

    def _send_heartbeat(self, now: Instant) -> None:
        summary = self._steering.read_state(summarize_steering)
        self._backends.close_unserved(set(summary.endpoints))
        sent_at = monotonic()
        answer = self._control.ask(
            self._make_heartbeat(summary, sent_at), HEARTBEAT_TIMEOUT_SECONDS
        )
        if answer.is_ok() and isinstance(answer.ok, HeartbeatAnswer):
            if answer.ok.text_version > summary.text_version:
                self._fetch_text()
            self._steering.post_blocking(ApplyHeartbeatAnswer(answer.ok, sent_at))
        self._record_freshness()

    def _make_heartbeat(self, summary: SteeringSummary, now: Instant) -> Heartbeat:
        for endpoint, (_, expires_at) in list(self._announcements.items()):
            if expires_at <= now:
                del self._announcements[endpoint]
        announcements = tuple(
            replace(announcement, lease=Millis(int((expires_at - now) * 1000)))
            for announcement, expires_at in self._announcements.values()
        )
        return Heartbeat(
            self._member,
            summary.text_version,
            summary.directory_version,
            summary.grant_seen,
            summary.held,
            summary.demands,
            announcements,
        )

    def _fetch_text(self) -> None:
        answer = self._control.ask(FetchText(), FETCH_TIMEOUT_SECONDS)
        if answer.is_error() or not isinstance(answer.ok, TextAnswer):
            return
        result = parse_text(answer.ok.text)
        if result.is_ok():
            self._steering.post_blocking(
                ApplyConfiguration(answer.ok.version, result.ok)
            )
            TEXT_VERSION.set(answer.ok.version)
            self._next_heartbeat_at = Instant(0.0)

    def _record_freshness(self) -> None:
        is_confirmed = self._steering.view.freshness is Freshness.CONFIRMED
        TEXT_CONFIRMED.set(is_confirmed)
        if is_confirmed != self._was_confirmed:
            emit(CONTROL_CONFIRMED if is_confirmed else CONTROL_CUT_OFF)
            self._was_confirmed = is_confirmed
