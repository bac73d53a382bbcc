"""Queue calls by service and kind, and grant free slots to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.failures import CannotMeetDeadline
from ...core.failures import CutOff
from ...core.failures import DependencyDown
from ...core.failures import Failure
from ...core.failures import LinkCapReached
from ...core.failures import NoEndpoint
from ...core.failures import NoText
from ...core.failures import QueueFull
from ...core.failures import Stopping
from ...core.failures import UnknownKind
from ...core.failures import UnknownService
from ...core.states import CutOffPolicy
from ...core.states import Freshness
from ...core.states import Rank
from .admission import ADMISSION_POLICIES
from .admission import RANK_ORDER
from .admission import SlotCount
from .admission import accrue_credit
from .messages import Refusal
from .messages import Slot
from .messages import SlotGrant
from .messages import SlotRequest
from .routing import KBIT_PER_KB
from .routing import free_slots
from .routing import link_has_room
from .routing import link_name
from .routing import select_server
from .state import COLD_AFTER
from .state import Effect
from .state import KindQueue
from .state import RunningCall
from .state import Server
from .state import ServiceQueue
from .state import SteeringState
from .state import WaitingCall

if TYPE_CHECKING:
    from ...core.ids import CallId
    from ...core.ids import Instant
    from ...core.ids import ServiceName

MIN_REMAINING_FRACTION = 0.5
"""Fraction of the usual service time that a call must have left to get a slot."""

ATTEMPT_TIMEOUT_RATIO = 4.0
"""Ratio of the timeout of a try that may be retried to the usual service time."""

MIN_SERVICE_TIME_SAMPLES = 20
"""Samples from which the service time is used as the timeout of a try."""

MIN_ATTEMPT_TIMEOUT = 0.1
"""Least seconds of the timeout of a try."""


def find_refusal(
    state: SteeringState, request: SlotRequest, now: Instant
) -> Failure | None:
    """Return the reason to refuse a call however few calls wait, or None."""
    if state.stopping:
        return Stopping()
    if state.text is None:
        return NoText()
    queue = state.queues.get(request.service)
    if queue is None:
        return UnknownService(request.service)
    kind_queue = queue.kinds.get(request.kind)
    if kind_queue is None:
        return UnknownKind(request.kind)
    refuses = kind_queue.kind.when_cut_off is CutOffPolicy.REFUSE
    if refuses and state.freshness(now) is Freshness.CUT_OFF:
        return CutOff()
    return _find_missing_capacity(state, queue, kind_queue, now)


def _find_missing_capacity(
    state: SteeringState, queue: ServiceQueue, kind_queue: KindQueue, now: Instant
) -> Failure | None:
    serving_servers = _serving_servers(state, queue.service.name, now)
    if not serving_servers:
        return NoEndpoint(queue.service.name)
    for name in queue.service.depends_on:
        if not _serving_servers(state, name, now):
            return DependencyDown(name)
    usable_servers = [
        server
        for server in serving_servers
        if free_slots(state, server, kind_queue.kind, now) + server.in_flight > 0
    ]
    if not usable_servers:
        return _find_missing_share(state, queue, now)
    if not any(
        link_has_room(state, server, kind_queue.kind, now) for server in usable_servers
    ):
        return LinkCapReached()
    return None


def _find_missing_share(
    state: SteeringState, queue: ServiceQueue, now: Instant
) -> Failure | None:
    """Return the reason to refuse a call if this process has no share, or None.

    While the lease runs, the next heartbeat may grant a share, so the call waits.
    """
    if now < state.shares_until:
        return None
    return NoEndpoint(f"{queue.service.name}: this process has no share of its slots")


def _serving_servers(
    state: SteeringState, service: ServiceName, now: Instant
) -> list[Server]:
    return [server for server in state.servers_of(service) if server.is_serving(now)]


def admit(state: SteeringState, request: SlotRequest, now: Instant) -> list[Effect]:
    """Add a call to its queue, or refuse it at once."""
    failure = find_refusal(state, request, now)
    if failure is not None:
        return [Refusal(request.call, failure)]
    queue = state.queues[request.service]
    kind_queue = queue.kinds[request.kind]
    waiting = WaitingCall(request, now, frozenset())
    wait = _expected_wait(state, queue, kind_queue, request, now)
    if wait and wait > _max_wait(request, kind_queue, now):
        return [Refusal(request.call, CannotMeetDeadline())]
    effects, must_refuse = _make_room(state, queue, kind_queue, request)
    if must_refuse:
        return [*effects, Refusal(request.call, QueueFull())]
    kind_queue.push(waiting)
    _count_outstanding(state, kind_queue.kind.rank, 1)
    return effects + grant_slots(state, queue, now)


def _max_wait(request: SlotRequest, kind_queue: KindQueue, now: Instant) -> float:
    """Return the seconds that a call may wait and still meet its deadline."""
    return request.deadline - now - kind_queue.service_time


def _expected_wait(
    state: SteeringState,
    queue: ServiceQueue,
    kind_queue: KindQueue,
    request: SlotRequest,
    now: Instant,
) -> float:
    """Estimate the seconds that a new call waits, with callers served in turn.

    The estimate is the lower of two waits: behind the calls of the same and of
    more urgent ranks, and with only the slots of the kind's floor.
    """
    slots = max(1, state.usable_slots(queue.service.name, now))
    calls_ahead = kind_queue.count_ahead(request.caller)
    if (
        calls_ahead == 0
        and sum(other.in_flight for other in queue.kinds.values()) < slots
    ):
        return 0.0
    own_rank = RANK_ORDER[kind_queue.kind.rank]
    seconds_ahead = calls_ahead * kind_queue.service_time
    for other in queue.kinds.values():
        if other is not kind_queue and RANK_ORDER[other.kind.rank] <= own_rank:
            seconds_ahead += other.size * other.service_time
    by_rank = seconds_ahead / slots
    floor_slots = kind_queue.kind.floor * slots
    if floor_slots <= 0.0:
        return by_rank
    return min(by_rank, calls_ahead * kind_queue.service_time / floor_slots)


def _make_room(
    state: SteeringState,
    queue: ServiceQueue,
    kind_queue: KindQueue,
    request: SlotRequest,
) -> tuple[list[Effect], bool]:
    """Make room for a call if the calls of its rank are at their limit.

    Remove the newest waiting call of the busiest caller, in the kind with the most
    waiting calls. Return the answer to that call, and whether the new call must be
    refused instead.
    """
    rank = kind_queue.kind.rank
    if state.outstanding.get(rank, 0) < state.rank_limits.get(rank, 0):
        return [], False
    same_rank = [
        other
        for service in state.queues.values()
        for other in service.kinds.values()
        if other.kind.rank is rank
    ]
    largest = max(same_rank, key=lambda other: other.size)
    if largest.size <= kind_queue.size:
        largest = kind_queue
    if largest.size == 0:
        return [], True
    caller = largest.busiest_caller()
    if largest is kind_queue:
        own_calls = len(kind_queue.callers.get(request.caller, ()))
        if own_calls + 1 >= len(kind_queue.callers[caller]):
            return [], True
    newest = largest.remove_newest(caller)
    _count_outstanding(state, rank, -1)
    return [Refusal(newest.request.call, QueueFull())], False


def _count_outstanding(state: SteeringState, rank: Rank, change: int) -> None:
    state.outstanding[rank] = state.outstanding.get(rank, 0) + change


def grant_slots(
    state: SteeringState, queue: ServiceQueue, now: Instant
) -> list[Effect]:
    """Grant free slots to waiting calls in the order of the admission policy.

    Refuse waiting calls that can no longer meet their deadline.
    """
    effects = _refuse_late(state, queue, now)
    order = ADMISSION_POLICIES.get(state.policies.admission)
    usable_slots = state.usable_slots(queue.service.name, now)
    accrue_credit(queue, usable_slots, now)
    has_granted = True
    while has_granted:
        has_granted = False
        nonempty = [
            kind_queue for kind_queue in queue.kinds.values() if kind_queue.size
        ]
        in_use = sum(kind_queue.in_flight for kind_queue in queue.kinds.values())
        for kind_queue in order(
            nonempty, SlotCount(usable_slots, usable_slots - in_use)
        ):
            server = select_server(state, queue, kind_queue.peek(), now)
            if server is not None:
                effects.append(_grant_slot(state, kind_queue, server, now))
                has_granted = True
                break
    return effects


def _refuse_late(
    state: SteeringState, queue: ServiceQueue, now: Instant
) -> list[Effect]:
    effects: list[Effect] = []
    for kind_queue in queue.kinds.values():
        while kind_queue.size:
            request = kind_queue.peek().request
            if (
                request.deadline - now
                >= kind_queue.service_time * MIN_REMAINING_FRACTION
            ):
                break
            kind_queue.pop()
            _count_outstanding(state, kind_queue.kind.rank, -1)
            effects.append(Refusal(request.call, CannotMeetDeadline()))
    return effects


def _grant_slot(
    state: SteeringState, kind_queue: KindQueue, server: Server, now: Instant
) -> SlotGrant:
    waiting = kind_queue.pop()
    if now > server.last_used + COLD_AFTER:
        server.warming_since = now
    server.last_used = now
    server.in_flight += 1
    kind_queue.in_flight += 1
    kind_queue.credit -= kind_queue.service_time
    link = link_name(state, server)
    if link is not None and link in state.links:
        state.links[link].record(kind_queue.kind.kb_per_call * KBIT_PER_KB, now)
    request = waiting.request
    state.running[request.call] = RunningCall(
        request, kind_queue.kind.rank, server.info.endpoint, waiting.tried
    )
    usual_timeout = max(
        MIN_ATTEMPT_TIMEOUT, ATTEMPT_TIMEOUT_RATIO * kind_queue.service_time
    )
    budget = state.budgets[request.service]
    has_samples = kind_queue.samples >= MIN_SERVICE_TIME_SAMPLES
    may_retry = has_samples and kind_queue.kind.idempotent and budget.tokens >= 1.0
    timeout = usual_timeout if may_retry else request.deadline - now
    return SlotGrant(request.call, Slot(request.call, server.info.endpoint, timeout))


def release_slot(
    state: SteeringState, running: RunningCall, seconds: float, now: Instant
) -> Server | None:
    """Free the slot of a call, and return its backend server if it is still known.

    ``seconds`` is the time for which the call occupied the slot.
    """
    if running.endpoint is None:
        return None
    server = state.servers.get(running.endpoint)
    running.endpoint = None
    kind_queue = find_kind_queue(state, running.request)
    if kind_queue is not None:
        kind_queue.in_flight = max(0, kind_queue.in_flight - 1)
        kind_queue.credit += kind_queue.service_time - seconds
        kind_queue.used_slot_seconds += seconds
    if server is not None:
        server.in_flight = max(0, server.in_flight - 1)
    return server


def find_kind_queue(state: SteeringState, request: SlotRequest) -> KindQueue | None:
    """Return the queue of a call's kind, or None if the configuration has none."""
    queue = state.queues.get(request.service)
    return queue.kinds.get(request.kind) if queue else None


def remove_running(state: SteeringState, call: CallId) -> None:
    """Remove a call that has ended from the running ones."""
    running = state.running.pop(call, None)
    if running is not None:
        _count_outstanding(state, running.rank, -1)


def remove_waiting(state: SteeringState, call: CallId) -> bool:
    """Remove a call from the queue that it waits in; return False if there is none."""
    for queue in state.queues.values():
        for kind_queue in queue.kinds.values():
            if kind_queue.remove(call) is not None:
                _count_outstanding(state, kind_queue.kind.rank, -1)
                return True
    return False


def requeue(
    state: SteeringState, running: RunningCall, tried: frozenset, now: Instant
) -> list[Effect]:
    """Put a call back into its queue; it still counts as outstanding."""
    kind_queue = find_kind_queue(state, running.request)
    queue = state.queues.get(running.request.service)
    if kind_queue is None or queue is None:
        remove_running(state, running.request.call)
        return [Refusal(running.request.call, UnknownKind(running.request.kind))]
    del state.running[running.request.call]
    kind_queue.push(WaitingCall(running.request, now, tried))
    return grant_slots(state, queue, now)
