"""Keep this process's leases, and bring in newer texts."""

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
from .metrics import CONFIRMED
from .metrics import TEXT_VERSION
from .steering.messages import ApplyAnnouncement
from .steering.messages import ApplyConfiguration
from .steering.messages import ApplyHeartbeatAnswer

if TYPE_CHECKING:
    from .backend import BackendClient
    from .control_client import ControlClient
    from .steering.state import SteeringState
    from .steering.task import SteeringTask

BEAT_EVERY = 0.5
"""Seconds between two heartbeats."""

BEAT_WAIT = 2.0
"""Seconds that a heartbeat waits for its answer."""

FETCH_WAIT = 5.0
"""Seconds that fetching a text may take."""


@dataclass(frozen=True)
class SetLeaving:
    """Tell the control processes that this process is leaving."""


@dataclass(frozen=True)
class Report:
    """Hold what a heartbeat tells of the steering state."""

    text_version: int
    directory_version: int
    grant_seen: int
    held: tuple[Share, ...]
    demands: tuple[Demand, ...]
    endpoints: frozenset[EndpointId]


def make_report(state: SteeringState, now: Instant) -> Report:
    """Read off what this process may use, and needs."""
    lent = now < state.shares_until and not state.stopping
    held: list[Share] = []
    for endpoint in state.servers.values():
        amount = max(endpoint.share if lent else 0, endpoint.in_flight)
        if amount:
            held.append(Share(f"slots/{endpoint.info.endpoint}", amount))
    for name, budget in state.links.items():
        if lent and budget.share:
            held.append(Share(name, budget.share))
    demands = [Demand(name, value) for name, value in state.demand.items()]
    return Report(
        state.version,
        state.directory_version,
        state.grant_seen,
        tuple(held),
        tuple(demands),
        frozenset(state.servers),
    )


class HeartbeatTask(Task):
    """Own this member's standing with the control processes."""

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
        self._announced: dict[EndpointId, tuple[Announcement, Instant]] = {}
        self._due = Instant(0.0)
        self._was_confirmed = False

    def next_wait(self, now: Instant) -> float:
        """Block until the next heartbeat is due."""
        return self._due - now

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Take announcements in, and beat when due or when it is urgent."""
        urgent = False
        for message in batch:
            if isinstance(message, SetLeaving):
                self._member = replace(self._member, state=MemberState.LEAVING)
                urgent = True
            else:
                urgent |= self._take_announcement(message, now)
        if urgent or now >= self._due:
            self._due = Instant(now + BEAT_EVERY)
            self._beat(now)

    def close(self) -> None:
        """Give back what a process that has drained still holds."""
        self._beat(monotonic())

    def _take_announcement(self, info: Announcement, now: Instant) -> bool:
        """Keep an announcement; say whether it brings a change."""
        before = self._announced.get(info.endpoint)
        lapses = Instant(now + info.lease / 1000)
        self._announced[info.endpoint] = (info, lapses)
        self._steering.post_blocking(ApplyAnnouncement(info))
        return before is None or before[0] != info

    def _beat(self, now: Instant) -> None:
        report = self._steering.read_state(make_report)
        self._backends.forget(set(report.endpoints))
        sent = monotonic()
        answer = self._control.ask(self._make_beat(report, sent), BEAT_WAIT)
        if answer.is_ok() and isinstance(answer.ok, HeartbeatAnswer):
            if answer.ok.text_version > report.text_version:
                self._fetch_text()
            self._steering.post_blocking(ApplyHeartbeatAnswer(answer.ok, sent))
        self._tell_freshness()

    def _make_beat(self, report: Report, now: Instant) -> Heartbeat:
        for endpoint, (_, lapses) in list(self._announced.items()):
            if lapses <= now:
                del self._announced[endpoint]
        announcements = tuple(
            replace(info, lease=Millis(int((lapses - now) * 1000)))
            for info, lapses in self._announced.values()
        )
        return Heartbeat(
            self._member,
            report.text_version,
            report.directory_version,
            report.grant_seen,
            report.held,
            report.demands,
            announcements,
        )

    def _fetch_text(self) -> None:
        answer = self._control.ask(FetchText(), FETCH_WAIT)
        if answer.is_error() or not isinstance(answer.ok, TextAnswer):
            return
        parsed = parse_text(answer.ok.text)
        if parsed.is_ok():
            self._steering.post_blocking(
                ApplyConfiguration(answer.ok.version, parsed.ok)
            )
            TEXT_VERSION.set(answer.ok.version)
            self._due = Instant(0.0)

    def _tell_freshness(self) -> None:
        confirmed = self._steering.view.freshness is Freshness.CONFIRMED
        CONFIRMED.set(confirmed)
        if confirmed != self._was_confirmed:
            emit(CONTROL_CONFIRMED if confirmed else CONTROL_CUT_OFF)
            self._was_confirmed = confirmed
