"""Handle the messages to the discovery task of a control process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from ...core.events import DEPARTURES_RECORDED
from ...core.events import HEARTBEAT_STALE
from ...core.events import HEARTBEAT_UNCONFIRMED
from ...core.events import emit
from ...core.ids import Instant
from ...core.registry import Registry
from ...messages.discovery import Departure
from ...messages.discovery import Gossip
from ...messages.discovery import InstanceSeen
from ...messages.discovery import RoutingChanged
from ...messages.discovery import SyncAnswer
from ...messages.discovery import SyncRequest
from ...text.routing import list_services
from .gateways import CONFIRMATION_TIMEOUT
from .gateways import UnconfirmedUpdate
from .table import SILENCE_TIMEOUT
from .table import Change
from .table import UpdateVerdict
from .table import is_leaving
from .updates import CommittedState
from .updates import InstanceUpdate

if TYPE_CHECKING:
    from ...wire.links import IncomingMessage
    from .task import DiscoveryTask

MAX_LOGGED = 8
"""Instances that a log line names at most."""

Handler = Callable[["DiscoveryTask", Any, Instant], None]

HANDLERS: Registry[type[Any], Handler] = Registry("handlers of discovery messages")


@HANDLERS.register(InstanceUpdate)
def handle_update(task: DiscoveryTask, update: InstanceUpdate, now: Instant) -> None:
    """Record a heartbeat or departure that a backend server sent to this process.

    The update of a leaving instance is confirmed once every live gateway has
    confirmed it and the log has recorded it.
    """
    leaving = is_leaving(Change(update.instance, update.gone))
    if not task.accepts_updates(leaving, now):
        emit(HEARTBEAT_UNCONFIRMED, instance=update.instance.instance, waiting="quorum")
        update.reply(False)
        return
    result = task.instances.apply_update(update.instance, update.gone, now)
    if result.verdict is UpdateVerdict.STALE:
        emit(HEARTBEAT_STALE, instance=update.instance.instance)
    else:
        _forward(task, update, result.verdict, now)
    waiting = task.push_changes(_urgent_changes(task, result.changes, now), now)
    if not leaving or result.verdict is UpdateVerdict.STALE:
        update.reply(True)
        return
    task.send_gossip_soon(now)
    if not result.changes:
        waiting = task.push_changes([Change(result.received, update.gone)], now)
    task.unconfirmed.append(
        UnconfirmedUpdate(
            Departure(result.received, update.gone),
            set(waiting),
            Instant(now + CONFIRMATION_TIMEOUT),
            update.reply,
        )
    )


def _forward(
    task: DiscoveryTask, update: InstanceUpdate, verdict: UpdateVerdict, now: Instant
) -> None:
    """Add a heartbeat or departure to the next gossip."""
    if update.gone:
        task.gossip.forward_departure(update.instance)
    elif verdict is UpdateVerdict.REPEATED:
        task.gossip.forward_repeated(task.instances, update.instance, now)
    else:
        task.gossip.forward(task.instances, update.instance, now)


def _urgent_changes(
    task: DiscoveryTask, changes: tuple[Change, ...], now: Instant
) -> list[Change]:
    """Return the changes to push at once; gateways request the others.

    While this process settles, all servers are new to it. Pushing each of them to each
    gateway would cost more than the gateways' next requests, which get them together.
    """
    if task.is_settled(now):
        return list(changes)
    return [change for change in changes if is_leaving(change)]


@HANDLERS.register(InstanceSeen)
def handle_confirmation(
    task: DiscoveryTask, req: IncomingMessage, now: Instant
) -> None:
    """Remove a gateway from those that updates of leaving instances wait for."""
    for item in task.unconfirmed:
        item.record_confirmation(req.message)


@HANDLERS.register(Gossip)
def handle_gossip(task: DiscoveryTask, req: IncomingMessage, now: Instant) -> None:
    """Record the heartbeats that another control process received and pushed."""
    gossip: Gossip = req.message
    task.gossip.record_contact(gossip, task.instances, now)
    for item in gossip.heard:
        task.instances.apply_update(item.instance, item.gone, now)
    for item in gossip.repeated:
        task.instances.touch(item, now)
    task.rate_limits.record(gossip.rate_limits, now)


@HANDLERS.register(CommittedState)
def handle_committed_state(
    task: DiscoveryTask, committed_state: CommittedState, now: Instant
) -> None:
    """Apply recorded departures, and notify the gateways of newer routing.

    Newer routing is a newer table or newer evacuations.
    """
    before, task.committed_state = task.committed_state, committed_state
    _apply_departures(task, committed_state, now)
    if committed_state.routing_version != before.routing_version:
        task.instances.named_services = list_services(committed_state.routing)
    versions = (committed_state.routing_version, committed_state.evacuation_index)
    if versions == (before.routing_version, before.evacuation_index):
        return
    for item in task.gateways.live(now):
        item.push(RoutingChanged(*versions))


def _apply_departures(
    task: DiscoveryTask, committed_state: CommittedState, now: Instant
) -> None:
    """Apply the departures that the log has recorded since the last ones.

    Those that are not committed yet are applied, too: the servers themselves said so.
    """
    added = task.departures.update(committed_state.departures)
    if added:
        emit(
            DEPARTURES_RECORDED,
            index=task.departures.index,
            departures=len(added),
            instances=",".join(item.instance.instance for item in added[:MAX_LOGGED]),
        )
    for departure in (*added, *committed_state.uncommitted_departures):
        if not task.instances.has_departed(departure.instance):
            result = task.instances.apply_update(
                departure.instance, departure.gone, now
            )
            task.push_changes(list(result.changes), now)


@HANDLERS.register(SyncRequest)
def handle_sync(task: DiscoveryTask, req: IncomingMessage, now: Instant) -> None:
    """Answer a gateway with the changes that it lacks."""
    sync: SyncRequest = req.message
    task.gateways.record_sync(sync, req.reply, now)
    task.check_gateways(now)
    task.rate_limits.record(sync.rate_limits, now)
    committed_state = task.committed_state
    newer_routing = committed_state.routing_version > sync.routing_version
    sends_routing = sync.wants_routing and newer_routing
    newer_members = committed_state.members_index > sync.control_index
    newer_zones = committed_state.evacuation_index > sync.evacuation_index
    feed = task.change_feed.changes_for(sync, now)
    changes = feed.changes if feed is not None else ()
    ready = task.is_ready(now)
    answer = SyncAnswer(
        source=task.run_id if feed is not None else "",
        revision=task.instances.revision if feed is not None else 0,
        complete=feed is not None and not feed.incremental and ready,
        instances=tuple(item.instance for item in changes if not item.gone),
        gone=tuple(item.instance.instance for item in changes if item.gone),
        routing_version=committed_state.routing_version,
        routing=committed_state.routing if sends_routing else b"",
        evacuation_index=committed_state.evacuation_index,
        evacuated=committed_state.evacuated if newer_zones else (),
        control=committed_state.members if newer_members else (),
        control_index=committed_state.members_index,
        gateways=task.live_gateways,
        ready=ready,
        absent_are_gone=task.in_contact(now)
        and now > task.started_at + SILENCE_TIMEOUT,
        may_be_behind=task.may_be_behind(now),
        sent_at=sync.sent_at,
        witness=committed_state.witness,
        voters=committed_state.committed_voters if newer_members else (),
        leader=committed_state.leader,
        region=task.region,
        plans=task.placement.applies,
        accepts_short=True,
    )
    follows = sync.wants_changes or sync.source == task.run_id
    req.reply(_add_rates(task, sync, answer, now) if ready and follows else answer)


def _add_rates(
    task: DiscoveryTask, sync: SyncRequest, answer: SyncAnswer, now: Instant
) -> SyncAnswer:
    """Lease a gateway its shares, and list the rate limits if they have changed."""
    limits = task.rate_limits
    lists_limits = sync.limits_revision != limits.revision
    return replace(
        answer,
        lease_start=sync.sent_at,
        rate_shares=task.share_rates(sync.gateway.vm, now),
        limits_revision=limits.revision if lists_limits else 0,
        rate_limits=limits.in_force(now) if lists_limits else (),
    )
