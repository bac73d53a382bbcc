"""Store the state of the steering task, and dispatch its messages to handlers."""

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
"""Seconds until this process uses its full share of a cold backend server."""

COLD_AFTER = 60.0
"""Seconds without a call of this process after which a backend server is cold."""

INITIAL_SERVICE_TIME = 0.05
"""Assumed service time of a kind in seconds, before its first sample."""

SERVICE_TIME_EWMA_WEIGHT = 0.1
"""Least weight of the latest sample in the moving average of the service time."""

LINK_WINDOW = 1.0
"""Seconds of the sliding window in which the share of a link is enforced."""


@dataclass
class Server:
    """Represent a backend server as this process observes it."""

    info: Announcement
    """Its latest announcement."""
    tracker: HealthTracker
    announced_until: Instant
    """When the lease of its last announcement to this process expires."""
    listed: bool = False
    """Whether the directory of the control processes lists it."""
    share: int = 0
    """Slots that the leader has granted to this process."""
    in_flight: int = 0
    """Slots that calls of this process occupy, cancelled calls included."""
    cancelled_slots: deque[Instant] = field(default_factory=deque)
    """Times when the slots of cancelled calls count as free again."""
    load: float = -1.0
    """Ratio of slots in use to slots after the last dispatch; below 0 if unknown."""
    warming_since: Instant = Instant(0.0)
    """Start of its last warm-up."""
    last_used: Instant = Instant(-1e9)
    """When this process last granted one of its slots."""

    def is_serving(self, now: Instant) -> bool:
        """Return whether its state is SERVING and it is listed or announced."""
        present = self.listed or now < self.announced_until
        return present and self.info.state is EndpointState.SERVING


@dataclass
class LinkBudget:
    """Limit the kilobits on a link in a sliding window to this process's share."""

    share: int = 0
    """Kilobits per window."""
    uses: deque[tuple[Instant, int]] = field(default_factory=deque)
    """Time and kilobits of each call in the window."""
    total: int = 0
    """Kilobits in the window."""

    def has_room(self, kbit: int, now: Instant) -> bool:
        """Return whether the share allows ``kbit`` more in the current window."""
        while self.uses and self.uses[0][0] <= now - LINK_WINDOW:
            self.total -= self.uses.popleft()[1]
        return self.total + kbit <= self.share

    def record(self, kbit: int, now: Instant) -> None:
        """Count the kilobits of a call."""
        self.uses.append((now, kbit))
        self.total += kbit


@dataclass
class WaitingCall:
    """Represent a call that waits for a slot."""

    request: SlotRequest
    queued_at: Instant
    tried: frozenset[EndpointId]
    """Backend servers that the call was dispatched to before."""


@dataclass
class KindQueue:
    """Queue the waiting calls of one kind, and serve their callers in turn."""

    kind: Kind
    callers: dict[CallerName, deque[WaitingCall]] = field(default_factory=dict)
    """Waiting calls by caller, the next caller first."""
    size: int = 0
    """Waiting calls of all callers."""
    credit: float = 0.0
    """Slot-seconds earned by the floor less those used; below 0 beyond the floor."""
    used_slot_seconds: float = 0.0
    """Slot-seconds used, for fairness between kinds of a rank."""
    service_time: float = INITIAL_SERVICE_TIME
    """Moving average of the seconds that a call occupies a slot."""
    samples: int = 0
    """Samples in the moving average of the service time."""
    in_flight: int = 0
    """Calls that occupy a slot."""

    def record_service_time(self, seconds: float) -> None:
        """Update the moving average of the service time.

        The first samples weigh more. A sample counts as at most half the deadline:
        with a longer service time, every call would be refused and the average would
        never be corrected.
        """
        seconds = min(seconds, self.kind.deadline_ms / 2000)
        self.samples += 1
        weight = max(SERVICE_TIME_EWMA_WEIGHT, 1.0 / self.samples)
        self.service_time += (seconds - self.service_time) * weight

    def push(self, waiting: WaitingCall) -> None:
        """Add a call as the last one of its caller."""
        self.callers.setdefault(waiting.request.caller, deque()).append(waiting)
        self.size += 1

    def peek(self) -> WaitingCall:
        """Return the next call."""
        return next(iter(self.callers.values()))[0]

    def pop(self) -> WaitingCall:
        """Remove and return the next call, and move its caller to the end."""
        caller = next(iter(self.callers))
        calls = self.callers.pop(caller)
        waiting = calls.popleft()
        if calls:
            self.callers[caller] = calls
        self.size -= 1
        return waiting

    def remove(self, call: CallId) -> WaitingCall | None:
        """Remove and return a call, or return None if it isn't in the queue."""
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
        """Count the waiting calls that are served before a new call of a caller."""
        turns = len(self.callers.get(caller, ())) + 1
        return sum(
            min(len(calls), turns - (name == caller))
            for name, calls in self.callers.items()
        )

    def busiest_caller(self) -> CallerName:
        """Return the caller with the most waiting calls."""
        return max(self.callers, key=lambda caller: len(self.callers[caller]))

    def remove_newest(self, caller: CallerName) -> WaitingCall:
        """Remove and return the newest call of a caller."""
        calls = self.callers[caller]
        waiting = calls.pop()
        if not calls:
            del self.callers[caller]
        self.size -= 1
        return waiting


@dataclass
class ServiceQueue:
    """Store the queues of a service, one per kind of call."""

    service: Service
    kinds: dict[KindName, KindQueue]
    accrued_at: Instant
    """When the kinds' credit was last updated."""
    turn: int = 0
    """Selections so far, for policies that select servers in turn."""


@dataclass
class RunningCall:
    """Represent a call that occupies a slot, or has occupied one and may be retried."""

    request: SlotRequest
    rank: Rank
    endpoint: EndpointId | None
    """Backend server whose slot it occupies, if any."""
    tried: frozenset[EndpointId]
    """Backend servers that it was dispatched to before."""


@dataclass
class RetryBudget:
    """Limit the retries of a service to a fraction of its first tries."""

    tokens: float
    """Retries that are allowed now."""


@dataclass(frozen=True)
class Locality:
    """Describe the location of this process."""

    region: RegionName
    zone: ZoneName


@dataclass(frozen=True)
class PolicyKeys:
    """Store the registry keys of the policies in use."""

    admission: str
    routing: str
    retry: str


@dataclass
class SteeringState:
    """Store the configuration in force, the backend servers and the queued calls."""

    locality: Locality
    policies: PolicyKeys
    rank_limits: dict[Rank, int]
    """Maximum number of calls of each rank that wait or run."""
    version: TextVersion = TextVersion(0)
    """Version of ``text``."""
    text: Text | None = None
    """Configuration in force."""
    confirmed_until: Instant = Instant(-1e9)
    """When the confirmation of the configuration expires."""
    shares_until: Instant = Instant(-1e9)
    """When the lease on the shares expires."""
    directory_version: int = 0
    grant_seen: int = 0
    """Latest ``grant`` that this process has received."""
    members: tuple[Member, ...] = ()
    """Entry processes in the directory."""
    servers: dict[EndpointId, Server] = field(default_factory=dict)
    queues: dict[ServiceName, ServiceQueue] = field(default_factory=dict)
    links: dict[str, LinkBudget] = field(default_factory=dict)
    """Budgets by the name of the link, ``link/source>target``."""
    budgets: dict[ServiceName, RetryBudget] = field(default_factory=dict)
    running: dict[CallId, RunningCall] = field(default_factory=dict)
    """Calls that occupy a slot or may be retried."""
    outstanding: dict[Rank, int] = field(default_factory=dict)
    """Calls of each rank that wait or run."""
    demand: dict[ServiceName, float] = field(default_factory=dict)
    """Moving average of the calls of each service that wait or are in flight."""
    draining: bool = False
    """Whether callers are asked to use other entry VMs."""
    stopping: bool = False
    """Whether new calls are refused."""

    def freshness(self, now: Instant) -> Freshness:
        """Return whether a quorum has recently confirmed the configuration in force."""
        if self.text is None:
            return Freshness.NO_TEXT
        if now < self.confirmed_until:
            return Freshness.CONFIRMED
        return Freshness.CUT_OFF

    def slot_limit(self, server: Server, kind: Kind, now: Instant) -> int:
        """Return how many calls of a kind this process may run on a backend server.

        Without a lease on its shares, it may run one call on each server of its own
        region if the kind is served while cut off. An ejected server gets no calls, and
        a probed one gets at most one at a time.
        """
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
        """Return how many calls of a service this process may run concurrently."""
        queue = self.queues[service]
        kind = next(iter(queue.kinds.values())).kind
        return sum(
            self.slot_limit(server, kind, now)
            for server in self.servers_of(service)
            if server.is_serving(now)
        )

    def servers_of(self, service: ServiceName) -> list[Server]:
        """Return the backend servers of a service, in zones of its configuration."""
        queue = self.queues.get(service)
        zones = {place.zone for place in queue.service.places} if queue else set()
        return [
            item
            for item in self.servers.values()
            if item.info.service == service and item.info.zone in zones
        ]


Effect = Any
"""``SlotGrant`` or ``Refusal``."""

Handler = Callable[[SteeringState, Any, Instant], list[Effect]]

HANDLERS: Registry[type[Any], Handler] = Registry("handlers of steering messages")


def handle_message(state: SteeringState, message: Any, now: Instant) -> list[Effect]:
    """Handle a message, and return the resulting answers to slot requests."""
    return HANDLERS.get(type(message))(state, message, now)
