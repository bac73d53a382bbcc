"""Admit calls to a service's queue, and serve them as slots come free."""

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
from .admission import ADMISSION
from .admission import RANK_ORDER
from .admission import Slots
from .admission import accrue_credit
from .messages import Refusal
from .messages import Slot
from .messages import SlotGrant
from .messages import SlotRequest
from .routing import KBIT_PER_KB
from .routing import choose_endpoint
from .routing import free_slots
from .routing import link_has_room
from .routing import link_name
from .state import COLD_AFTER
from .state import Effect
from .state import KindQueue
from .state import Running
from .state import Server
from .state import ServiceQueue
from .state import SteeringState
from .state import Waiting

if TYPE_CHECKING:
    from ...core.ids import CallId
    from ...core.ids import Instant
    from ...core.ids import ServiceName

LATE_PART = 0.5
"""Part of a usual service time that a call must have left to be served."""

ATTEMPT_RATIO = 4.0
"""Times the usual service time after which another try is better."""

KNOWN_ANSWERS = 20
"""Answers from which the usual service time counts as known."""

ATTEMPT_FLOOR = 0.1
"""Seconds that each try gets at least."""


def find_refusal(
    state: SteeringState, ask: SlotRequest, now: Instant
) -> Failure | None:
    """Return why a call can't be taken at all, if so."""
    if state.stopping:
        return Stopping()
    if state.text is None:
        return NoText()
    queue = state.queues.get(ask.service)
    if queue is None:
        return UnknownService(ask.service)
    item = queue.kinds.get(ask.kind)
    if item is None:
        return UnknownKind(ask.kind)
    refuses = item.kind.when_cut_off is CutOffPolicy.REFUSE
    if refuses and state.freshness(now) is Freshness.CUT_OFF:
        return CutOff()
    return _find_missing_capacity(state, queue, item, now)


def _find_missing_capacity(
    state: SteeringState, queue: ServiceQueue, item: KindQueue, now: Instant
) -> Failure | None:
    present = _present(state, queue.service.name, now)
    if not present:
        return NoEndpoint(queue.service.name)
    for name in queue.service.depends_on:
        if not _present(state, name, now):
            return DependencyDown(name)
    usable = [
        end
        for end in present
        if free_slots(state, end, item.kind, now) + end.in_flight > 0
    ]
    if not usable:
        return _find_lost_share(state, queue, now)
    if not any(link_has_room(state, end, item.kind, now) for end in usable):
        return LinkCapReached()
    return None


def _find_lost_share(
    state: SteeringState, queue: ServiceQueue, now: Instant
) -> Failure | None:
    """Let a call wait for a share that may be on its way, while the lease runs."""
    if now < state.shares_until:
        return None
    return NoEndpoint(f"{queue.service.name}: no share of any slot")


def _present(state: SteeringState, service: ServiceName, now: Instant) -> list[Server]:
    return [item for item in state.servers_of(service) if item.is_serving(now)]


def admit(state: SteeringState, ask: SlotRequest, now: Instant) -> list[Effect]:
    """Take a call into its queue, or refuse it at once."""
    failure = find_refusal(state, ask, now)
    if failure is not None:
        return [Refusal(ask.call, failure)]
    queue = state.queues[ask.service]
    item = queue.kinds[ask.kind]
    waiting = Waiting(ask, now, frozenset())
    wait = _would_wait(state, queue, item, ask, now)
    if wait and wait > _spare(ask, item, now):
        return [Refusal(ask.call, CannotMeetDeadline())]
    effects, refused = _make_room(state, queue, item, ask)
    if refused:
        return [*effects, Refusal(ask.call, QueueFull())]
    item.push(waiting)
    _count(state, item.kind.rank, 1)
    return effects + serve(state, queue, now)


def _spare(ask: SlotRequest, item: KindQueue, now: Instant) -> float:
    return ask.deadline - now - item.service_time


def _would_wait(
    state: SteeringState,
    queue: ServiceQueue,
    item: KindQueue,
    ask: SlotRequest,
    now: Instant,
) -> float:
    """Return the seconds a new call would wait, its caller taking turns."""
    slots = max(1, state.usable_slots(queue.service.name, now))
    own = item.ahead_of(ask.caller)
    if own == 0 and sum(it.in_flight for it in queue.kinds.values()) < slots:
        return 0.0
    own_rank = RANK_ORDER[item.kind.rank]
    ahead = own * item.service_time
    for other in queue.kinds.values():
        if other is not item and RANK_ORDER[other.kind.rank] <= own_rank:
            ahead += other.size * other.service_time
    by_rank = ahead / slots
    guaranteed = item.kind.floor * slots
    if guaranteed <= 0.0:
        return by_rank
    return min(by_rank, own * item.service_time / guaranteed)


def _make_room(
    state: SteeringState, queue: ServiceQueue, item: KindQueue, ask: SlotRequest
) -> tuple[list[Effect], bool]:
    """Make the kind and caller with most calls waiting pay where a rank is full."""
    rank = item.kind.rank
    if state.outstanding.get(rank, 0) < state.rank_limits.get(rank, 0):
        return [], False
    same_rank = [
        other
        for service in state.queues.values()
        for other in service.kinds.values()
        if other.kind.rank is rank
    ]
    largest = max(same_rank, key=lambda other: other.size)
    if largest.size <= item.size:
        largest = item
    if largest.size == 0:
        return [], True
    caller = largest.longest_caller()
    if largest is item:
        own = len(item.callers.get(ask.caller, ()))
        if own + 1 >= len(item.callers[caller]):
            return [], True
    dropped = largest.drop_last_of(caller)
    _count(state, rank, -1)
    return [Refusal(dropped.ask.call, QueueFull())], False


def _count(state: SteeringState, rank: Rank, change: int) -> None:
    state.outstanding[rank] = state.outstanding.get(rank, 0) + change


def serve(state: SteeringState, queue: ServiceQueue, now: Instant) -> list[Effect]:
    """Give free slots to waiting calls, in the order the policy sets."""
    effects = _refuse_late(state, queue, now)
    pick = ADMISSION.get(state.chosen.admission)
    usable = state.usable_slots(queue.service.name, now)
    accrue_credit(queue, usable, now)
    served = True
    while served:
        served = False
        waiting = [item for item in queue.kinds.values() if item.size]
        taken = sum(item.in_flight for item in queue.kinds.values())
        for item in pick(waiting, Slots(usable, usable - taken)):
            endpoint = choose_endpoint(state, queue, item.peek(), now)
            if endpoint is not None:
                effects.append(_grant(state, item, endpoint, now))
                served = True
                break
    return effects


def _refuse_late(
    state: SteeringState, queue: ServiceQueue, now: Instant
) -> list[Effect]:
    effects: list[Effect] = []
    for item in queue.kinds.values():
        while item.size:
            ask = item.peek().ask
            if ask.deadline - now >= item.service_time * LATE_PART:
                break
            item.pop()
            _count(state, item.kind.rank, -1)
            effects.append(Refusal(ask.call, CannotMeetDeadline()))
    return effects


def _grant(
    state: SteeringState, item: KindQueue, endpoint: Server, now: Instant
) -> SlotGrant:
    waiting = item.pop()
    if now > endpoint.last_used + COLD_AFTER:
        endpoint.warm_from = now
    endpoint.last_used = now
    endpoint.in_flight += 1
    item.in_flight += 1
    item.credit -= item.service_time
    link = link_name(state, endpoint)
    if link is not None and link in state.links:
        state.links[link].take(item.kind.kb_per_call * KBIT_PER_KB, now)
    ask = waiting.ask
    state.running[ask.call] = Running(
        ask, item.kind.rank, endpoint.info.endpoint, waiting.avoid
    )
    usual = max(ATTEMPT_FLOOR, ATTEMPT_RATIO * item.service_time)
    budget = state.budgets[ask.service]
    known = item.answers >= KNOWN_ANSWERS
    may_retry = known and item.kind.idempotent and budget.tokens >= 1.0
    limit = usual if may_retry else ask.deadline - now
    return SlotGrant(ask.call, Slot(ask.call, endpoint.info.endpoint, limit))


def release(
    state: SteeringState, running: Running, seconds: float, now: Instant
) -> Server | None:
    """Free the slot of a call; return its backend server if still known."""
    if running.endpoint is None:
        return None
    endpoint = state.servers.get(running.endpoint)
    running.endpoint = None
    item = kind_queue(state, running.ask)
    if item is not None:
        item.in_flight = max(0, item.in_flight - 1)
        item.credit += item.service_time - seconds
        item.served += seconds
    if endpoint is not None:
        endpoint.in_flight = max(0, endpoint.in_flight - 1)
    return endpoint


def kind_queue(state: SteeringState, ask: SlotRequest) -> KindQueue | None:
    """Return the queue of a call's kind, if the text in force still has it."""
    queue = state.queues.get(ask.service)
    return queue.kinds.get(ask.kind) if queue else None


def forget(state: SteeringState, call: CallId) -> None:
    """Drop a call that is over."""
    running = state.running.pop(call, None)
    if running is not None:
        _count(state, running.rank, -1)


def withdraw_waiting(state: SteeringState, call: CallId) -> bool:
    """Take a call out of the queues, wherever it waits."""
    for queue in state.queues.values():
        for item in queue.kinds.values():
            if item.remove(call) is not None:
                _count(state, item.kind.rank, -1)
                return True
    return False


def queue_again(
    state: SteeringState, running: Running, avoid: frozenset, now: Instant
) -> list[Effect]:
    """Put a call that keeps its place among the outstanding back into its queue."""
    item = kind_queue(state, running.ask)
    queue = state.queues.get(running.ask.service)
    if item is None or queue is None:
        forget(state, running.ask.call)
        return [Refusal(running.ask.call, UnknownKind(running.ask.kind))]
    del state.running[running.ask.call]
    item.push(Waiting(running.ask, now, avoid))
    return serve(state, queue, now)
