"""Own the tables of backend servers and gateways, and push changes to gateways."""

from __future__ import annotations

import uuid
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from ...core.events import GATEWAY_ACTIVE
from ...core.events import GATEWAY_INACTIVE
from ...core.events import HEARTBEAT_UNCONFIRMED
from ...core.events import INSTANCE_CHANGED
from ...core.events import INSTANCE_GONE
from ...core.events import emit
from ...core.ids import Instant
from ...core.ids import MemberId
from ...core.ids import RegionName
from ...core.ids import VmName
from ...core.states import EndpointState
from ...core.task import Task
from ...core.task import monotonic
from ...core.token_bucket import TokenBucket
from ...messages.discovery import RATE_LEASE_DURATION
from ...messages.discovery import InstanceChanged
from ...messages.discovery import RecordDepartures
from ...wire.links import IncomingMessage
from ..placement.modes import PlannedServices
from ..placement.state import PlacementState
from . import alive
from .change_feed import FULL_SYNC_SERVERS_PER_SECOND
from .change_feed import ChangeFeed
from .departures import DepartureIndex
from .gateways import LOOKUP_TIMEOUT
from .gateways import SHARE_TIMEOUT
from .gateways import GatewayTable
from .gateways import LookupIndex
from .gateways import UnconfirmedUpdate
from .gossip import GossipState
from .handlers import HANDLERS
from .placement import run_placement
from .rate_limits import RateLimitTable
from .rate_shares import RateShares
from .table import Change
from .table import InstanceTable
from .updates import CommittedState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from ...messages.discovery import Instance
    from ...messages.discovery import RateShare

__all__ = ["DiscoveryTask", "alive"]

GOSSIP_INTERVAL = 0.3
"""Seconds between two gossip messages to the other control processes."""

EXPIRY_INTERVAL = 1.0
"""Seconds between two removals of silent instances."""

PAUSE_THRESHOLD = 1.0
"""Seconds between two batches above which this task must have been suspended."""

GATEWAY_CHECK_INTERVAL = 0.1
"""Seconds between two searches for gateways that have become silent."""

SHARE_INTERVAL = 0.2
"""Seconds between two divisions of the rates of rate-limited servers."""

SETTLE_INTERVALS = 1.6
"""Heartbeat intervals after a start until this process has all live instances.

By then each instance has sent a heartbeat to some control process.
"""

NO_REGION = RegionName("")
"""Region of a process whose settings name none."""


class DiscoveryTask(Task):
    """Own the tables of instances and gateways of one control process."""

    def __init__(
        self,
        vm: VmName,
        broadcast: Callable[[Any], None],
        record: Callable[[RecordDepartures], Any],
        heartbeat_interval: float,
        region: RegionName = NO_REGION,
        placement: str = "auto",
    ) -> None:
        super().__init__("discovery", 16_384)
        self.region = region
        self.settle_seconds = max(
            SETTLE_INTERVALS * heartbeat_interval, RATE_LEASE_DURATION
        )
        """Time after a start until this process has all live instances, and no lease of
        an earlier run is valid."""
        self.vm = vm
        self.broadcast = broadcast
        self.record = record
        """Passes departures to the log."""
        self.run_id = uuid.uuid4().hex[:12]
        self.started_at = monotonic()
        self.instances = InstanceTable()
        self.gateways = GatewayTable()
        self.committed_state = CommittedState()
        self.unconfirmed: list[UnconfirmedUpdate] = []
        self.departures = DepartureIndex()
        self.gossip = GossipState(vm, self.run_id, self.settle_seconds)
        per_second = FULL_SYNC_SERVERS_PER_SECOND
        full_syncs = TokenBucket(per_second, per_second, per_second, Instant(0.0))
        self.change_feed = ChangeFeed(
            self.run_id, self.instances, self.gateways, full_syncs
        )
        self.lookup_index = LookupIndex()
        """Gateways that lookups may return; replaced as a whole, read by any thread."""
        self.rate_limits = RateLimitTable()
        self.rate_shares = RateShares()
        self.placement = PlacementState(PlannedServices(placement))
        self._shares_due = Instant(0.0)
        self.live_gateways = 0
        """Number of live gateways at the last check."""
        self._gateways_due = Instant(0.0)
        self._gateways_revision = 0
        self._gossip_due = Instant(0.0)
        self._expire_due = Instant(0.0)
        self._last_run_at = self.started_at
        self._had_contact = False
        """Whether a majority was in contact at the last removal of silent instances."""
        self._reached_majority = False
        """Whether a majority has been in contact since the start."""

    def next_wait(self, now: Instant) -> float:
        """Return the seconds until gossip, expiry or a confirmation timeout is due."""
        due = [self._gossip_due, self._expire_due]
        due += [item.deadline for item in self.unconfirmed]
        return min(due) - now

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Handle messages, then expire instances and send gossip if they are due."""
        self._detect_pause(now)
        self._reached_majority = self._reached_majority or self.in_contact(now)
        for message in batch:
            inner = message.message if isinstance(message, IncomingMessage) else message
            if type(inner) in HANDLERS:
                HANDLERS.get(type(inner))(self, message, now)
        self.answer_updates(now)
        run_placement(self, now)
        if now >= self._expire_due:
            self._expire_due = Instant(now + EXPIRY_INTERVAL)
            self._expire(now)
        if now >= self._gossip_due:
            self._gossip_due = Instant(now + GOSSIP_INTERVAL)
            limits = self.rate_limits.take_changes(
                now, everything=now < self.gossip.whole_until
            )
            self.broadcast(replace(self.gossip.take(), rate_limits=limits))
            self._record_departures()
        self.check_gateways(now)

    def send_gossip_soon(self, now: Instant) -> None:
        """Send gossip with this batch of messages.

        The others must know of a departure before it is acknowledged, as this process
        may end right after.
        """
        self._gossip_due = now

    def _record_departures(self) -> None:
        """Ask the log to record the departures that it lacks, until it has them."""
        pending = [item.departure for item in self.unconfirmed]
        missing = [item for item in pending if not self.departures.has(item)]
        if missing:
            self.record(RecordDepartures(tuple(missing)))

    def in_contact(self, now: Instant) -> bool:
        """Return whether a majority of the voters, with this one, is in contact."""
        voters = {node.vm for node in self.committed_state.voters}
        reached = self.gossip.peers_in_contact(now) | {self.vm}
        return len(voters & reached) > len(voters) / 2

    def is_settled(self, now: Instant) -> bool:
        """Return whether each server has had time to send a heartbeat since start."""
        return now > self.started_at + self.settle_seconds

    def may_be_behind(self, now: Instant) -> bool:
        """Return whether this process may lack newer routing tables and evacuations."""
        return not (self.committed_state.caught_up and self.in_contact(now))

    def is_ready(self, now: Instant) -> bool:
        """Return whether this process knows all servers, and what the log contains."""
        return not self.may_be_behind(now) and self.is_settled(now)

    def accepts_updates(self, leaving: bool, now: Instant) -> bool:
        """Return whether this process may acknowledge an update of an instance.

        Without contact to a majority it may be isolated, and the server should turn to
        another process. Just after its start it only has not heard from the others yet:
        it takes heartbeats, which servers would repeat everywhere, but confirms no
        departure.
        """
        if self.in_contact(now):
            return True
        return not (leaving or self._reached_majority or self.is_settled(now))

    def share_rates(self, vm: VmName, now: Instant) -> tuple[RateShare, ...]:
        """Return the shares of a gateway in the rates of rate-limited servers."""
        if now >= self._shares_due:
            self._shares_due = Instant(now + SHARE_INTERVAL)
            live = self.gateways.live(now, SHARE_TIMEOUT)
            self.rate_shares.update(
                self._rate_limited(now),
                self._serving_instances(),
                live,
                self.placement.planned.services,
            )
        return tuple(self.rate_shares.by_vm.get(vm, ()))

    def _serving_instances(self) -> Iterator[Instance]:
        """Yield the instances that may get requests."""
        for item in self.instances.live.values():
            instance = item.instance
            is_evacuated = instance.zone in self.committed_state.evacuated
            if instance.state is EndpointState.SERVING and not is_evacuated:
                yield instance

    def _rate_limited(self, now: Instant) -> list[Instance]:
        """Return the instances that are cold or have named a rate limit."""
        by_name = {item.instance: item for item in self.instances.cold(now)}
        for item in self.rate_limits.limited(self.instances):
            by_name[item.instance] = item
        return list(by_name.values())

    def push_changes(self, changes: list[Change], now: Instant) -> list[MemberId]:
        """Push changes to all live gateways and return their ids."""
        live = self.gateways.live(now)
        for change in changes:
            event = INSTANCE_GONE if change.gone else INSTANCE_CHANGED
            instance = change.instance
            emit(
                event,
                instance=instance.instance,
                service=instance.service,
                state=instance.state,
                sequence=instance.sequence,
                gateways=len(live),
            )
            for item in live:
                item.push(InstanceChanged(instance, change.gone))
        return [item.gateway.gateway for item in live]

    def answer_updates(self, now: Instant) -> None:
        """Answer updates that gateways and log have, or that timed out."""
        if not self.unconfirmed:
            return
        live = {item.gateway.gateway for item in self.gateways.live(now)}
        for item in list(self.unconfirmed):
            item.waiting &= live
            waiting = sorted(item.waiting)
            if not self.departures.has(item.departure):
                waiting.append("log")
            if waiting and now < item.deadline:
                continue
            self.unconfirmed.remove(item)
            if waiting:
                emit(
                    HEARTBEAT_UNCONFIRMED,
                    instance=item.departure.instance.instance,
                    waiting=",".join(waiting),
                )
            item.reply(not waiting)

    def _detect_pause(self, now: Instant) -> None:
        """Restart the settling time after a pause, in which heartbeats were missed."""
        gap = now - self._last_run_at
        self._last_run_at = now
        if gap > PAUSE_THRESHOLD:
            self.started_at = now
            self.instances.extend_lifetimes(now)

    def _expire(self, now: Instant) -> None:
        """Remove silent instances, unless this process itself is out of contact."""
        had_contact, self._had_contact = self._had_contact, self.in_contact(now)
        if not self._had_contact:
            return
        if not had_contact:
            self.instances.extend_lifetimes(now)
        self.rate_limits.remove_stale(self.instances, now)
        for change in self.instances.expire(now):
            instance = change.instance
            emit(INSTANCE_GONE, instance=instance.instance, sequence=instance.sequence)
        self.gateways.remove_silent(now)

    def check_gateways(self, now: Instant) -> None:
        """Count the live gateways, and replace the lookup index if it has changed.

        This takes a pass over all gateways, so it is done when one has changed, and at
        intervals.
        """
        unchanged = self.gateways.revision == self._gateways_revision
        if unchanged and now < self._gateways_due:
            return
        self._gateways_due = Instant(now + GATEWAY_CHECK_INTERVAL)
        self._gateways_revision = self.gateways.revision
        self.live_gateways = len(self.gateways.live(now))
        live = self.gateways.live(now, LOOKUP_TIMEOUT)
        gateways = tuple(item.gateway for item in live)
        before = self.lookup_index.gateways
        if gateways == before:
            return
        for item in set(before) - set(gateways):
            emit(GATEWAY_INACTIVE, gateway=item.gateway, state=item.state)
        for item in set(gateways) - set(before):
            emit(GATEWAY_ACTIVE, gateway=item.gateway, state=item.state)
        self.lookup_index = LookupIndex(gateways)
