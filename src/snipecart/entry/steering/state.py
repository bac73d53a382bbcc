"""Hold what the steering task knows."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from ...core.ids import CallerName
from ...core.ids import CallId
from ...core.ids import EndpointId
from ...core.ids import Instant
from ...core.ids import KindName
from ...core.ids import RegionName
from ...core.ids import ServiceName
from ...core.ids import TextVersion
from ...core.ids import ZoneName
from ...core.registry import Registry
from ...core.states import CutOffPolicy
from ...core.states import EndpointState
from ...core.states import Freshness
from ...core.states import Health
from ...core.states import Rank

if TYPE_CHECKING:
    from ...messages.members import Announcement
    from ...messages.members import Member
    from ...text.model import Kind
    from ...text.model import Service
    from ...text.model import Text
    from .health import HealthTracker
    from .messages import SlotRequest

WARM_UP_TIME = 4.0
"""Seconds over which a backend server that was cold gets its full share."""

COLD_AFTER = 60.0
"""Seconds without a call that make a backend server cold."""

INITIAL_SERVICE_TIME = 0.05
"""Seconds a call is taken to need before one was measured."""

SERVICE_TIME_EWMA_WEIGHT = 0.1

LINK_WINDOW = 1.0
"""Seconds over which a link's cap is kept."""


@dataclass
class Server:
    """Hold one backend server."""

    info: Announcement
    tracker: HealthTracker
    announced_until: Instant
    """When the last announcement made to this process lapses."""
    listed: bool = False
    """Whether the control processes' directory names it."""
    share: int = 0
    in_flight: int = 0
    cancelled_slots: deque[Instant] = field(default_factory=deque)
    """When the slots of cancelled calls come free."""
    load: float = -1.0
    warming_since: Instant = Instant(0.0)
    last_used: Instant = Instant(-1e9)

    def is_serving(self, now: Instant) -> bool:
        """Say whether it is there and not leaving."""
        present = self.listed or now < self.announced_until
        return present and self.info.state is EndpointState.SERVING


@dataclass
class LinkBudget:
    """Keep the kilobits put on a link in any one window under the share."""

    share: int = 0
    uses: deque[tuple[Instant, int]] = field(default_factory=deque)
    total: int = 0

    def has_room(self, kbit: int, now: Instant) -> bool:
        """Say whether the share leaves room."""
        while self.uses and self.uses[0][0] <= now - LINK_WINDOW:
            self.total -= self.uses.popleft()[1]
        return self.total + kbit <= self.share

    def record(self, kbit: int, now: Instant) -> None:
        """Put kilobits on the link."""
        self.uses.append((now, kbit))
        self.total += kbit


@dataclass
class WaitingCall:
    """Hold one call that waits for a slot."""

    request: SlotRequest
    queued_at: Instant
    tried: frozenset[EndpointId]


@dataclass
class KindQueue:
    """Hold the waiting calls of one kind, by caller in turn."""

    kind: Kind
    callers: dict[CallerName, deque[WaitingCall]] = field(default_factory=dict)
    size: int = 0
    credit: float = 0.0
    """Slot-seconds that the kind's floor has earned and not used."""
    used_slot_seconds: float = 0.0
    """Slot-seconds used, for fairness within a rank."""
    service_time: float = INITIAL_SERVICE_TIME
    answers: int = 0
    """Answers that the service time was learned from."""
    in_flight: int = 0

    def record_service_time(self, seconds: float) -> None:
        """Learn the service time, fast at first.

        Never more than half the deadline: a kind that is refused learns nothing new.
        """
        seconds = min(seconds, self.kind.deadline_ms / 2000)
        self.answers += 1
        weight = max(SERVICE_TIME_EWMA_WEIGHT, 1.0 / self.answers)
        self.service_time += (seconds - self.service_time) * weight

    def push(self, waiting: WaitingCall) -> None:
        """Add a call at the end of its caller's line."""
        self.callers.setdefault(waiting.request.caller, deque()).append(waiting)
        self.size += 1

    def peek(self) -> WaitingCall:
        """Return the call whose turn it is."""
        return next(iter(self.callers.values()))[0]

    def pop(self) -> WaitingCall:
        """Take the call whose turn it is; its caller goes to the end."""
        caller = next(iter(self.callers))
        calls = self.callers.pop(caller)
        waiting = calls.popleft()
        if calls:
            self.callers[caller] = calls
        self.size -= 1
        return waiting

    def remove(self, call: CallId) -> WaitingCall | None:
        """Take out one call."""
        for caller, calls in self.callers.items():
            for waiting in calls:
                if waiting.request.call == call:
                    calls.remove(waiting)
                    if not calls:
                        del self.callers[caller]
                    self.size -= 1
                    return waiting
        return None

    def count_ahead(self, caller: CallerName) -> int:
        """Count the waiting calls that are served before a caller's next one."""
        turns = len(self.callers.get(caller, ())) + 1
        return sum(
            min(len(calls), turns - (name == caller))
            for name, calls in self.callers.items()
        )

    def busiest_caller(self) -> CallerName:
        """Return the caller with the most calls waiting."""
        return max(self.callers, key=lambda caller: len(self.callers[caller]))

    def remove_newest(self, caller: CallerName) -> WaitingCall:
        """Take out a caller's newest call."""
        calls = self.callers[caller]
        waiting = calls.pop()
        if not calls:
            del self.callers[caller]
        self.size -= 1
        return waiting


@dataclass
class ServiceQueue:
    """Hold the queues of a service's kinds."""

    service: Service
    kinds: dict[KindName, KindQueue]
    accrued_at: Instant
    turn: int = 0
    """Counts choices, for policies that take turns."""


@dataclass
class RunningCall:
    """Hold a call that has a slot, or had one and may ask again."""

    request: SlotRequest
    rank: Rank
    endpoint: EndpointId | None
    tried: frozenset[EndpointId]


@dataclass
class RetryBudget:
    """Allow retries as a part of first tries."""

    tokens: float


@dataclass(frozen=True)
class Locality:
    """Say where this process runs."""

    region: RegionName
    zone: ZoneName


@dataclass(frozen=True)
class PolicyKeys:
    """Hold the names of the registered policies in use."""

    admission: str
    routing: str
    retry: str


@dataclass
class SteeringState:
    """Hold the whole state of the steering task."""

    locality: Locality
    policies: PolicyKeys
    rank_limits: dict[Rank, int]
    """Calls of a rank that may wait or run here at a time."""
    version: TextVersion = TextVersion(0)
    text: Text | None = None
    confirmed_until: Instant = Instant(-1e9)
    shares_until: Instant = Instant(-1e9)
    directory_version: int = 0
    grant_seen: int = 0
    members: tuple[Member, ...] = ()
    servers: dict[EndpointId, Server] = field(default_factory=dict)
    queues: dict[ServiceName, ServiceQueue] = field(default_factory=dict)
    links: dict[str, LinkBudget] = field(default_factory=dict)
    budgets: dict[ServiceName, RetryBudget] = field(default_factory=dict)
    running: dict[CallId, RunningCall] = field(default_factory=dict)
    outstanding: dict[Rank, int] = field(default_factory=dict)
    demand: dict[ServiceName, float] = field(default_factory=dict)
    draining: bool = False
    stopping: bool = False

    def freshness(self, now: Instant) -> Freshness:
        """Say whether a quorum has lately confirmed the text in force here."""
        if self.text is None:
            return Freshness.NO_TEXT
        if now < self.confirmed_until:
            return Freshness.CONFIRMED
        return Freshness.CUT_OFF

    def slot_limit(self, server: Server, kind: Kind, now: Instant) -> int:
        """Return how many calls this process may run on a backend server now."""
        if now < self.shares_until:
            share = self._warm_up_share(server, now)
        elif kind.when_cut_off is CutOffPolicy.SERVE:
            share = 1 if server.info.region == self.locality.region else 0
        else:
            share = 0
        if server.tracker.health is Health.EJECTED:
            return 0
        if server.tracker.health is Health.PROBING:
            return min(share, 1)
        return share

    def _warm_up_share(self, server: Server, now: Instant) -> int:
        warmth = (now - server.warming_since) / WARM_UP_TIME
        if warmth >= 1.0:
            return server.share
        return min(server.share, 1 + int(server.share * warmth))

    def usable_slots(self, service: ServiceName, now: Instant) -> int:
        """Return how many calls of a service this process may run at a time."""
        queue = self.queues[service]
        kind = next(iter(queue.kinds.values())).kind
        return sum(
            self.slot_limit(server, kind, now)
            for server in self.servers_of(service)
            if server.is_serving(now)
        )

    def servers_of(self, service: ServiceName) -> list[Server]:
        """List the known backend servers of a service, in places that the text has."""
        queue = self.queues.get(service)
        zones = {place.zone for place in queue.service.places} if queue else set()
        return [
            item
            for item in self.servers.values()
            if item.info.service == service and item.info.zone in zones
        ]


Effect = Any
Handler = Callable[[SteeringState, Any, Instant], list[Effect]]

HANDLERS: Registry[type[Any], Handler] = Registry("handlers of steering messages")


def handle_message(state: SteeringState, message: Any, now: Instant) -> list[Effect]:
    """Handle one message and return the answers it leads to."""
    return HANDLERS.get(type(message))(state, message, now)
