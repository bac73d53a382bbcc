"""Handle what the steering task is told."""

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
from .queueing import forget
from .queueing import kind_queue
from .queueing import queue_again
from .queueing import release
from .queueing import serve
from .queueing import withdraw_waiting
from .retry import FIRST_TOKENS
from .retry import RETRY
from .retry import earn
from .state import STEERS
from .state import Effect
from .state import KindQueue
from .state import LinkBudget
from .state import RetryBudget
from .state import Server
from .state import ServiceQueue
from .state import SteeringState

if TYPE_CHECKING:
    from ...messages.members import Announcement

DEMAND_SMOOTHING = 0.05
"""Weight of a new look at demand, ten times a second."""

LINGER = 0.5
"""Seconds that a cancelled call is taken to hold its slot."""

MAX_EJECTED_PART = 0.5
"""Part of this process's slots of a service that own observations may eject."""


@STEERS.register(SlotRequest)
def handle_ask(state: SteeringState, ask: SlotRequest, now: Instant) -> list[Effect]:
    """Queue, serve or refuse a new call."""
    if ask.service in state.budgets:
        earn(state.budgets[ask.service])
    return admit(state, ask, now)


@STEERS.register(RetrySlotRequest)
def handle_ask_again(
    state: SteeringState, again: RetrySlotRequest, now: Instant
) -> list[Effect]:
    """Queue a call for another backend server, within the retry budget."""
    running = state.running.get(again.call)
    if running is None:
        return [Refusal(again.call, NoEndpoint())]
    spend = RETRY.get(state.chosen.retry)
    if not spend(state.budgets[running.ask.service], again.reason):
        return [Refusal(again.call, BackendShed("retry budget spent"))]
    return queue_again(state, running, running.avoid, now)


@STEERS.register(RecordDispatch)
def handle_dispatched(
    state: SteeringState, done: RecordDispatch, now: Instant
) -> list[Effect]:
    """Free the slot, and learn from how the dispatch ended."""
    running = state.running.get(done.call)
    if running is None or running.endpoint is None:
        return []
    running.avoid |= {running.endpoint}
    endpoint = release(state, running, done.seconds, now)
    if endpoint is not None and done.end is DispatchOutcome.TIMED_OUT:
        endpoint.in_flight += 1
        endpoint.lingering.append(Instant(now + LINGER))
    item = kind_queue(state, running.ask)
    if item is not None and _tells_service_time(item, done):
        item.learn(done.seconds)
    if endpoint is not None:
        _observe(state, endpoint, done, now)
    queue = state.queues.get(running.ask.service)
    return serve(state, queue, now) if queue is not None else []


def _tells_service_time(item: KindQueue, done: RecordDispatch) -> bool:
    """Learn from answers, and from time-outs that took longer than expected."""
    if done.end is DispatchOutcome.TIMED_OUT:
        return done.seconds > item.service_time
    return done.end is DispatchOutcome.ANSWERED


def _observe(
    state: SteeringState, endpoint: Server, done: RecordDispatch, now: Instant
) -> None:
    tracker = endpoint.tracker
    before = tracker.health
    endpoint.load = done.load
    tracker.note(done.end, done.seconds, now)
    peers = [
        other
        for other in state.servers_of(endpoint.info.service)
        if other.is_serving(now)
    ]
    known = [other.tracker.latency for other in peers if other.tracker.latency]
    if len(known) > 2 and tracker.is_slow(median(known)):
        tracker.eject(now)
    ejected = [item for item in peers if item.tracker.health is Health.EJECTED]
    out = sum(other.share for other in ejected)
    if out > sum(other.share for other in peers) * MAX_EJECTED_PART:
        tracker.health = Health.PROBING
    if tracker.health is not before:
        _tell_health(endpoint)


def _tell_health(endpoint: Server) -> None:
    if endpoint.tracker.health is Health.EJECTED:
        emit(ENDPOINT_EJECTED, endpoint=endpoint.info.endpoint)
    elif endpoint.tracker.health is Health.TRUSTED:
        emit(ENDPOINT_READMITTED, endpoint=endpoint.info.endpoint)


@STEERS.register(EndCall)
def handle_withdraw(state: SteeringState, done: EndCall, now: Instant) -> list[Effect]:
    """Forget a call, and free its slot if it still has one."""
    running = state.running.get(done.call)
    if running is None:
        withdraw_waiting(state, done.call)
        return []
    release(state, running, 0.0, now)
    forget(state, done.call)
    queue = state.queues.get(running.ask.service)
    return serve(state, queue, now) if queue is not None else []


@STEERS.register(ApplyConfiguration)
def handle_text(
    state: SteeringState, news: ApplyConfiguration, now: Instant
) -> list[Effect]:
    """Act on a newer text, keeping what runs and waits."""
    if news.version <= state.version:
        return []
    state.version, state.text = news.version, news.text
    emit(TEXT_IN_FORCE, version=news.version)
    old = state.queues
    state.queues = {}
    effects: list[Effect] = []
    for service in news.text.services:
        before = old.pop(service.name, None)
        kinds = {kind.name: KindQueue(kind) for kind in service.kinds}
        queue = ServiceQueue(service, kinds, now)
        state.queues[service.name] = queue
        state.budgets.setdefault(service.name, RetryBudget(FIRST_TOKENS))
        if before is not None:
            effects += _carry_over(state, before, queue)
    for before in old.values():
        effects += _refuse_all(state, before)
    return effects + _serve_all(state, now)


def _carry_over(
    state: SteeringState, before: ServiceQueue, after: ServiceQueue
) -> list[Effect]:
    for name, item in list(before.kinds.items()):
        kept = after.kinds.get(name)
        if kept is not None and kept.kind.rank is item.kind.rank:
            fresh = kept.kind
            after.kinds[name] = item
            item.kind = fresh
            del before.kinds[name]
    return _refuse_all(state, before)


def _refuse_all(state: SteeringState, queue: ServiceQueue) -> list[Effect]:
    effects: list[Effect] = []
    for item in queue.kinds.values():
        state.outstanding[item.kind.rank] -= item.size
        while item.size:
            call = item.pop().ask.call
            effects.append(Refusal(call, NoEndpoint("no longer in the text")))
    return effects


def _forget_endpoints(state: SteeringState, now: Instant) -> None:
    """Forget backend servers that are gone, once none of their slots is in use."""
    for key, endpoint in list(state.servers.items()):
        present = endpoint.listed or now < endpoint.own_lease
        wanted = present and _is_in_text(state, endpoint.info)
        if not wanted and not endpoint.in_flight:
            del state.servers[key]
            if not present:
                emit(ENDPOINT_EXPIRED, endpoint=key)


def _is_in_text(state: SteeringState, info: Announcement) -> bool:
    queue = state.queues.get(info.service)
    zones = {place.zone for place in queue.service.places} if queue else set()
    return info.zone in zones


def _serve_all(state: SteeringState, now: Instant) -> list[Effect]:
    effects: list[Effect] = []
    for queue in state.queues.values():
        effects += serve(state, queue, now)
    return effects


@STEERS.register(ApplyHeartbeatAnswer)
def handle_confirmed(
    state: SteeringState, news: ApplyHeartbeatAnswer, now: Instant
) -> list[Effect]:
    """Take the leader's word on freshness, shares and who is there."""
    answer = news.answer
    lapses = Instant(news.sent + answer.lease / 1000)
    if answer.text_version <= state.version:
        state.confirmed_until = max(state.confirmed_until, lapses)
    state.shares_until = lapses
    state.grant_seen = answer.grant
    if answer.directory_sent:
        state.directory_version = answer.directory_version
        state.members = answer.members
        _take_directory(state, answer.endpoints, now)
    _take_shares(state, {share.resource: share.amount for share in answer.shares})
    return _serve_all(state, now)


def _take_directory(
    state: SteeringState, announcements: tuple[Announcement, ...], now: Instant
) -> None:
    listed = {item.endpoint for item in announcements}
    for key, endpoint in state.servers.items():
        endpoint.listed = key in listed
    for info in announcements:
        _note_endpoint(state, info, now).listed = True


def _note_endpoint(state: SteeringState, info: Announcement, now: Instant) -> Server:
    known = state.servers.get(info.endpoint)
    if known is None:
        known = Server(info, HealthTracker(), own_lease=Instant(0.0), warm_from=now)
        if _is_in_text(state, info) or state.text is None:
            state.servers[info.endpoint] = known
            emit(ENDPOINT_ANNOUNCED, endpoint=info.endpoint)
    if info.state is EndpointState.LEAVING and known.info.state is not info.state:
        emit(ENDPOINT_LEAVING, endpoint=info.endpoint)
    known.info = info
    return known


def _take_shares(state: SteeringState, shares: dict[str, int]) -> None:
    for endpoint in state.servers.values():
        endpoint.share = shares.get(f"slots/{endpoint.info.endpoint}", 0)
    links = {name for name in shares if name.startswith("link/")}
    for name in links | state.links.keys():
        state.links.setdefault(name, LinkBudget()).share = shares.get(name, 0)


@STEERS.register(ApplyAnnouncement)
def handle_announced(
    state: SteeringState, news: ApplyAnnouncement, now: Instant
) -> list[Effect]:
    """Take a backend server's own word."""
    endpoint = _note_endpoint(state, news.announcement, now)
    endpoint.own_lease = Instant(now + news.announcement.lease / 1000)
    return []


@STEERS.register(SetDraining)
def handle_draining(state: SteeringState, _: SetDraining, now: Instant) -> list[Effect]:
    """Serve on, but close callers' connections."""
    state.draining = True
    return []


@STEERS.register(SetStopping)
def handle_stopping(state: SteeringState, _: SetStopping, now: Instant) -> list[Effect]:
    """Refuse new calls from now on."""
    state.stopping = True
    return []


@STEERS.register(Tick)
def handle_tick(state: SteeringState, _: Tick, now: Instant) -> list[Effect]:
    """Let probes begin, refuse calls that wait too long, measure demand."""
    _forget_endpoints(state, now)
    for endpoint in state.servers.values():
        endpoint.tracker.refresh(now)
        while endpoint.lingering and endpoint.lingering[0] <= now:
            endpoint.lingering.popleft()
            endpoint.in_flight -= 1
    wanted: dict[ServiceName, float] = defaultdict(float)
    for name, queue in state.queues.items():
        for item in queue.kinds.values():
            wanted[name] += item.size + item.in_flight
    for name in state.queues:
        before = state.demand.get(name, 0.0)
        state.demand[name] = before + (wanted[name] - before) * DEMAND_SMOOTHING
    return _serve_all(state, now)
