"""Handle the messages of the steering task."""

from __future__ import annotations

from collections import defaultdict
from statistics import median
from typing import TYPE_CHECKING

from ...core.events import ENDPOINT_ANNOUNCED
from ...core.events import ENDPOINT_EJECTED
from ...core.events import ENDPOINT_EXPIRED
from ...core.events import ENDPOINT_LEAVING
from ...core.events import ENDPOINT_READMITTED
from ...core.events import TEXT_IN_FORCE
from ...core.events import emit
from ...core.failures import BackendShed
from ...core.failures import NoEndpoint
from ...core.ids import Instant
from ...core.ids import ServiceName
from ...core.states import DispatchOutcome
from ...core.states import EndpointState
from ...core.states import Health
from .health import HealthTracker
from .messages import ApplyAnnouncement
from .messages import ApplyConfiguration
from .messages import ApplyHeartbeatAnswer
from .messages import EndCall
from .messages import RecordDispatch
from .messages import Refusal
from .messages import RetrySlotRequest
from .messages import SetDraining
from .messages import SetStopping
from .messages import SlotRequest
from .messages import Tick
from .queueing import admit
from .queueing import find_kind_queue
from .queueing import grant_slots
from .queueing import release_slot
from .queueing import remove_running
from .queueing import remove_waiting
from .queueing import requeue
from .retry import INITIAL_TOKENS
from .retry import RETRY_POLICIES
from .retry import record_first_try
from .state import HANDLERS
from .state import Effect
from .state import KindQueue
from .state import LinkBudget
from .state import RetryBudget
from .state import Server
from .state import ServiceQueue
from .state import SteeringState

if TYPE_CHECKING:
    from ...messages.members import Announcement

DEMAND_EWMA_WEIGHT = 0.05
"""Weight of the latest sample in the average demand; there are ten per second."""

CANCELLED_SLOT_TIME = 0.5
"""Seconds for which a cancelled call is assumed to still occupy its slot."""

MAX_EJECTED_FRACTION = 0.5
"""Maximum fraction of this process's share of a service on ejected servers."""


@HANDLERS.register(SlotRequest)
def handle_slot_request(
    state: SteeringState, request: SlotRequest, now: Instant
) -> list[Effect]:
    """Grant a slot to a new call, or queue or refuse it."""
    if request.service in state.budgets:
        record_first_try(state.budgets[request.service])
    return admit(state, request, now)


@HANDLERS.register(RetrySlotRequest)
def handle_retry_request(
    state: SteeringState, message: RetrySlotRequest, now: Instant
) -> list[Effect]:
    """Queue a call for another backend server if the retry policy allows it."""
    running = state.running.get(message.call)
    if running is None:
        return [Refusal(message.call, NoEndpoint())]
    allows_retry = RETRY_POLICIES.get(state.policies.retry)
    if not allows_retry(state.budgets[running.request.service], message.reason):
        return [Refusal(message.call, BackendShed("retry budget is used up"))]
    return requeue(state, running, running.tried, now)


@HANDLERS.register(RecordDispatch)
def handle_dispatch(
    state: SteeringState, dispatch: RecordDispatch, now: Instant
) -> list[Effect]:
    """Free the slot, and update the service time and the server's health."""
    running = state.running.get(dispatch.call)
    if running is None or running.endpoint is None:
        return []
    running.tried |= {running.endpoint}
    server = release_slot(state, running, dispatch.seconds, now)
    if server is not None and dispatch.end is DispatchOutcome.TIMED_OUT:
        server.in_flight += 1
        server.cancelled_slots.append(Instant(now + CANCELLED_SLOT_TIME))
    kind_queue = find_kind_queue(state, running.request)
    if kind_queue is not None and _is_service_time_sample(kind_queue, dispatch):
        kind_queue.record_service_time(dispatch.seconds)
    if server is not None:
        _record_dispatch(state, server, dispatch, now)
    queue = state.queues.get(running.request.service)
    return grant_slots(state, queue, now) if queue is not None else []


def _is_service_time_sample(kind_queue: KindQueue, dispatch: RecordDispatch) -> bool:
    """Return whether a dispatch updates the service time of its kind.

    Answers do, and timeouts that took longer than the service time.
    """
    if dispatch.end is DispatchOutcome.TIMED_OUT:
        return dispatch.seconds > kind_queue.service_time
    return dispatch.end is DispatchOutcome.ANSWERED


def _record_dispatch(
    state: SteeringState, server: Server, dispatch: RecordDispatch, now: Instant
) -> None:
    """Update the health of a server, and log changes.

    A server is probed instead of ejected if more than MAX_EJECTED_FRACTION of the
    share would be on ejected servers.
    """
    tracker = server.tracker
    previous = tracker.health
    server.load = dispatch.load
    tracker.record_dispatch(dispatch.end, dispatch.seconds, now)
    peers = [
        other
        for other in state.servers_of(server.info.service)
        if other.is_serving(now)
    ]
    latencies = [other.tracker.latency for other in peers if other.tracker.latency]
    if len(latencies) > 2 and tracker.is_slow(median(latencies)):
        tracker.eject(now)
    ejected_peers = [other for other in peers if other.tracker.health is Health.EJECTED]
    ejected_share = sum(other.share for other in ejected_peers)
    if ejected_share > sum(other.share for other in peers) * MAX_EJECTED_FRACTION:
        tracker.health = Health.PROBING
    if tracker.health is not previous:
        _log_health(server)


def _log_health(server: Server) -> None:
    if server.tracker.health is Health.EJECTED:
        emit(ENDPOINT_EJECTED, endpoint=server.info.endpoint)
    elif server.tracker.health is Health.TRUSTED:
        emit(ENDPOINT_READMITTED, endpoint=server.info.endpoint)


@HANDLERS.register(EndCall)
def handle_end_call(
    state: SteeringState, message: EndCall, now: Instant
) -> list[Effect]:
    """Remove a call, and free its slot if it has one."""
    running = state.running.get(message.call)
    if running is None:
        remove_waiting(state, message.call)
        return []
    release_slot(state, running, 0.0, now)
    remove_running(state, message.call)
    queue = state.queues.get(running.request.service)
    return grant_slots(state, queue, now) if queue is not None else []


@HANDLERS.register(ApplyConfiguration)
def handle_configuration(
    state: SteeringState, message: ApplyConfiguration, now: Instant
) -> list[Effect]:
    """Apply a newer configuration; running and waiting calls are kept.

    Waiting calls whose kind was removed or has another rank are refused.
    """
    if message.version <= state.version:
        return []
    state.version, state.text = message.version, message.text
    emit(TEXT_IN_FORCE, version=message.version)
    previous_queues = state.queues
    state.queues = {}
    effects: list[Effect] = []
    for service in message.text.services:
        previous = previous_queues.pop(service.name, None)
        kinds = {kind.name: KindQueue(kind) for kind in service.kinds}
        queue = ServiceQueue(service, kinds, now)
        state.queues[service.name] = queue
        state.budgets.setdefault(service.name, RetryBudget(INITIAL_TOKENS))
        if previous is not None:
            effects += _carry_over(state, previous, queue)
    for previous in previous_queues.values():
        effects += _refuse_all(state, previous)
    return effects + _grant_all(state, now)


def _carry_over(
    state: SteeringState, previous: ServiceQueue, current: ServiceQueue
) -> list[Effect]:
    """Keep the queues of kinds with the same rank; refuse the calls of the others."""
    for name, kind_queue in list(previous.kinds.items()):
        replacement = current.kinds.get(name)
        if replacement is not None and replacement.kind.rank is kind_queue.kind.rank:
            new_kind = replacement.kind
            current.kinds[name] = kind_queue
            kind_queue.kind = new_kind
            del previous.kinds[name]
    return _refuse_all(state, previous)


def _refuse_all(state: SteeringState, queue: ServiceQueue) -> list[Effect]:
    effects: list[Effect] = []
    for kind_queue in queue.kinds.values():
        state.outstanding[kind_queue.kind.rank] -= kind_queue.size
        while kind_queue.size:
            call = kind_queue.pop().request.call
            effects.append(Refusal(call, NoEndpoint("removed from the configuration")))
    return effects


def _remove_servers(state: SteeringState, now: Instant) -> None:
    """Remove idle servers whose lease has expired or that aren't configured."""
    for key, server in list(state.servers.items()):
        present = server.listed or now < server.announced_until
        wanted = present and _is_configured(state, server.info)
        if not wanted and not server.in_flight:
            del state.servers[key]
            if not present:
                emit(ENDPOINT_EXPIRED, endpoint=key)


def _is_configured(state: SteeringState, info: Announcement) -> bool:
    queue = state.queues.get(info.service)
    zones = {place.zone for place in queue.service.places} if queue else set()
    return info.zone in zones


def _grant_all(state: SteeringState, now: Instant) -> list[Effect]:
    effects: list[Effect] = []
    for queue in state.queues.values():
        effects += grant_slots(state, queue, now)
    return effects


@HANDLERS.register(ApplyHeartbeatAnswer)
def handle_heartbeat_answer(
    state: SteeringState, message: ApplyHeartbeatAnswer, now: Instant
) -> list[Effect]:
    """Apply the leases, the shares and the directory that the leader sent.

    The configuration is confirmed only if the leader has no newer one.
    """
    answer = message.answer
    lease_end = Instant(message.sent + answer.lease / 1000)
    if answer.text_version <= state.version:
        state.confirmed_until = max(state.confirmed_until, lease_end)
    state.shares_until = lease_end
    state.grant_seen = answer.grant
    if answer.directory_sent:
        state.directory_version = answer.directory_version
        state.members = answer.members
        _apply_directory(state, answer.endpoints, now)
    _apply_shares(state, {share.resource: share.amount for share in answer.shares})
    return _grant_all(state, now)


def _apply_directory(
    state: SteeringState, announcements: tuple[Announcement, ...], now: Instant
) -> None:
    listed = {info.endpoint for info in announcements}
    for key, server in state.servers.items():
        server.listed = key in listed
    for info in announcements:
        _apply_announcement(state, info, now).listed = True


def _apply_announcement(
    state: SteeringState, info: Announcement, now: Instant
) -> Server:
    server = state.servers.get(info.endpoint)
    if server is None:
        server = Server(
            info, HealthTracker(), announced_until=Instant(0.0), warming_since=now
        )
        if _is_configured(state, info) or state.text is None:
            state.servers[info.endpoint] = server
            emit(ENDPOINT_ANNOUNCED, endpoint=info.endpoint)
    if info.state is EndpointState.LEAVING and server.info.state is not info.state:
        emit(ENDPOINT_LEAVING, endpoint=info.endpoint)
    server.info = info
    return server


def _apply_shares(state: SteeringState, shares: dict[str, int]) -> None:
    for server in state.servers.values():
        server.share = shares.get(f"slots/{server.info.endpoint}", 0)
    links = {name for name in shares if name.startswith("link/")}
    for name in links | state.links.keys():
        state.links.setdefault(name, LinkBudget()).share = shares.get(name, 0)


@HANDLERS.register(ApplyAnnouncement)
def handle_announcement(
    state: SteeringState, message: ApplyAnnouncement, now: Instant
) -> list[Effect]:
    """Apply an announcement, and extend its lease."""
    server = _apply_announcement(state, message.announcement, now)
    server.announced_until = Instant(now + message.announcement.lease / 1000)
    return []


@HANDLERS.register(SetDraining)
def handle_draining(state: SteeringState, _: SetDraining, now: Instant) -> list[Effect]:
    """Keep serving calls, but close callers' connections from now on."""
    state.draining = True
    return []


@HANDLERS.register(SetStopping)
def handle_stopping(state: SteeringState, _: SetStopping, now: Instant) -> list[Effect]:
    """Refuse new calls from now on."""
    state.stopping = True
    return []


@HANDLERS.register(Tick)
def handle_tick(state: SteeringState, _: Tick, now: Instant) -> list[Effect]:
    """Start due probes, free the slots of cancelled calls, and measure demand.

    Waiting calls get free slots or are refused if they are late.
    """
    _remove_servers(state, now)
    for server in state.servers.values():
        server.tracker.start_probe_if_due(now)
        while server.cancelled_slots and server.cancelled_slots[0] <= now:
            server.cancelled_slots.popleft()
            server.in_flight -= 1
    demand: dict[ServiceName, float] = defaultdict(float)
    for name, queue in state.queues.items():
        for kind_queue in queue.kinds.values():
            demand[name] += kind_queue.size + kind_queue.in_flight
    for name in state.queues:
        average = state.demand.get(name, 0.0)
        state.demand[name] = average + (demand[name] - average) * DEMAND_EWMA_WEIGHT
    return _grant_all(state, now)
