"""Synchronize backend servers and the routing table from the control processes."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from ..core.events import SYNC_SOURCE_LOST
from ..core.events import SYNC_SOURCE_SELECTED
from ..core.events import emit
from ..core.ids import Instant
from ..core.ids import LogIndex
from ..core.ids import RoutingVersion
from ..core.ids import VmName
from ..core.states import MemberState
from ..core.task import Task
from ..core.task import monotonic
from ..messages.alive import GatewayAlive
from ..messages.discovery import SyncRequest
from ..wire.codec import Envelope
from ..wire.links import Link
from .balancing.demand import TakeDemand
from .demand_reports import DemandSchedule
from .followed_list import FollowedList
from .following import select_followed
from .key_lease import KeyLease
from .peers import NO_REGION
from .peers import Peer
from .peers import PeerMessage
from .peers import addresses_by_vm
from .peers import list_candidates
from .quota import QuotaGate
from .quota import QuotaReporter
from .sync_handlers import HANDLERS
from .table_proof import ProofUpdater

if TYPE_CHECKING:
    from ..messages.alive import AliveAnswer
    from ..messages.commands import Node
    from ..messages.discovery import Gateway
    from ..messages.discovery import SyncAnswer
    from ..messages.placement import DemandReport
    from ..messages.placement import PlacementUpdate
    from ..program.settings import ControlPeer
    from .balancing.task import BalancerTask

SYNC_INTERVAL_SECONDS = 0.5
"""Time between two requests to each control process."""

STARTUP_SYNC_INTERVAL_SECONDS = 0.15
"""Time between two requests to the followed process while this gateway isn't ready."""

FETCH_INTERVAL_SECONDS = 0.2
"""Time between two requests for a newer routing table.

Every control process announces a newer version, but a single copy of it saves
bandwidth on a slow link.
"""


class SyncTask(Task):
    """Own the links to the control processes and keep this gateway up to date.

    Ask all control processes at intervals. Follow one of them, the only one whose
    answers change the list of backend servers.
    """

    def __init__(
        self,
        gateway: Gateway,
        seeds: tuple[ControlPeer, ...],
        host: str,
        balancer: BalancerTask,
        lease: KeyLease | None = None,
        quota_gate: QuotaGate | None = None,
    ) -> None:
        super().__init__("sync", 8192)
        self.lease = lease or KeyLease()
        self.table_proof = ProofUpdater()
        self.gateway = gateway
        self.leaving = False
        self.complete = False
        """Whether the list of backend servers has been complete enough to serve."""
        self._seeds = addresses_by_vm(seeds)
        self._host, self._balancer = host, balancer
        self.quota = QuotaReporter(quota_gate or QuotaGate())
        self.quota.gate.notify = self.post
        self._peers: dict[VmName, Peer] = {}
        self._followed = VmName("")
        self.followed_list = FollowedList()
        self._control_index = LogIndex(0)
        self._nodes: tuple[Node, ...] = ()
        """Control processes named by the log entry at ``_control_index``."""
        self._next_fetch_at = Instant(0.0)
        self._first_answered_at: Instant | None = None
        self.demand_schedule = DemandSchedule()
        self._next_sync_at = Instant(0.0)
        self._next_startup_sync_at = Instant(0.0)

    @property
    def ready(self) -> bool:
        """Return whether this gateway has what it needs to accept requests."""
        return (
            self.complete and not self.leaving and self._balancer.view.index is not None
        )

    @property
    def balancer(self) -> BalancerTask:
        """Return the task that receives backend servers, routing and plans."""
        return self._balancer

    @property
    def followed(self) -> VmName:
        """Return the control process followed for changes; empty if none answers."""
        return self._followed

    @property
    def peers(self) -> tuple[VmName, ...]:
        """Return all control processes that receive requests."""
        return tuple(self._peers)

    def answering_peers(self, now: Instant) -> list[VmName]:
        """Return the control processes whose last answer is recent."""
        return [vm for vm, peer in self._peers.items() if peer.is_answering(now)]

    def proof_age(self, now: Instant) -> float:
        """Return the seconds since the routing table was proved current."""
        return self.lease.proof_age(self._balancer.view.index, now)

    def find_peer(self, vm: VmName) -> Peer:
        """Return the control process on a VM, which must be one of ``peers``."""
        return self._peers[vm]

    def start(self) -> None:
        """Open the links to the configured control processes and start the task."""
        self._update_links(self._nodes)
        super().start()

    def close(self) -> None:
        """Close all links."""
        if self._balancer.view.limits_organisations:
            self.quota.release(self.gateway, self._peers, monotonic())
        for peer in self._peers.values():
            peer.link.stop(0.5)

    def next_wait(self, now: Instant) -> float:
        """Return the seconds until the next request."""
        due = min(self._next_sync_at, self.demand_schedule.due_at())
        if self._is_starting():
            due = min(due, self._next_startup_sync_at)
        if self._balancer.view.limits_organisations:
            due = min(due, self.quota.next_due(now))
        return due - now

    def _is_starting(self) -> bool:
        return not (self.ready or self.leaving)

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Handle messages, and send a request to all control processes when due."""
        for message in batch:
            kind = type(message)
            if kind in HANDLERS:
                HANDLERS.get(kind)(self, message, now)
        index = self._balancer.view.index
        self.table_proof.update(self.lease, index, now, complete=self.complete)
        if self._balancer.view.limits_organisations:
            self.quota.send_due(self.gateway, self._peers, now)
        self.complete = self.complete or self._list_is_complete(now)
        if self.demand_schedule.is_due(now):
            wanted, is_followed = self.demand_schedule.wanted, bool(self._followed)
            self._balancer.post(TakeDemand(wanted, wanted and is_followed, self.post))
        if now >= self._next_sync_at:
            self._next_sync_at = Instant(now + SYNC_INTERVAL_SECONDS)
            self._select_followed(now)
            for vm in self._peers:
                self._send_report(vm, now)
            self._next_startup_sync_at = Instant(now + STARTUP_SYNC_INTERVAL_SECONDS)
        elif self._is_starting() and now >= self._next_startup_sync_at:
            self._next_startup_sync_at = Instant(now + STARTUP_SYNC_INTERVAL_SECONDS)
            self._select_followed(now)
            if self._followed:
                self._send_sync_request(self._followed, now)

    def leave(self, now: Instant) -> None:
        """Announce to all control processes at once that this gateway leaves."""
        self.leaving = True
        self._next_sync_at = now

    def replace_seeds(self, seeds: tuple[ControlPeer, ...]) -> None:
        """Replace the control processes from the settings."""
        self._seeds = addresses_by_vm(seeds)
        self._update_links(self._nodes)

    def send(self, vm: VmName, message: Any) -> None:
        """Send a message to one of ``peers``."""
        self._peers[vm].link.post(Envelope(0, message))

    def send_to_leader(self, message: DemandReport | PlacementUpdate) -> None:
        """Send to the leader of the log; without one the message is lost."""
        if self.demand_schedule.leader in self._peers:
            self.send(self.demand_schedule.leader, message)

    def record_first_answer(self, now: Instant) -> None:
        """Record the time of the first answer of any control process."""
        if self._first_answered_at is None:
            self._first_answered_at = now

    def adopt_members(self, answer: SyncAnswer, now: Instant) -> None:
        """Link to the members of the log that an answer names, unless it is older."""
        if answer.control_index > self._control_index:
            self._control_index, self._nodes = answer.control_index, answer.control
            self._update_links(self._nodes)
            self.table_proof.adopt_voters(answer, now)

    def fetch_newer(self, vm: VmName, answer: AliveAnswer, now: Instant) -> None:
        """Request what a short answer shows to be newer.

        Send a full request also if the process does not know this gateway.
        """
        if not answer.known or answer.control_index > self._control_index:
            self._send_sync_request(vm, now)
        if self._balancer.view.index is not None or not answer.may_be_behind:
            self.fetch_newer_routing(
                vm, answer.routing_version, answer.evacuation_index, now
            )

    def _list_is_complete(self, now: Instant) -> bool:
        """Return whether the list of servers and the proof suffice to serve."""
        view = self._balancer.view
        return (
            view.index is not None
            and self.followed_list.is_complete(view, self._first_answered_at, now)
            and not self.lease.lacks_proof(view.index, now)
        )

    def _select_followed(self, now: Instant) -> None:
        """Keep following a control process, or turn to another one."""
        vm = self._preferred_process(now)
        if not vm:
            if self._followed in self._peers:
                emit(SYNC_SOURCE_LOST, followed=self._followed)
            self._followed = vm
            return
        if vm != self._followed:
            self._followed = vm
            self.followed_list = FollowedList(changes_due=now)
            peer = self._peers[vm]
            emit(SYNC_SOURCE_SELECTED, vm=vm, ready=peer.ready, region=peer.region)

    def _preferred_process(self, now: Instant) -> VmName:
        """Return the control process to follow; empty if none answers.

        While this gateway starts and a process of its region has too many lists to
        send, the whole fleet counts as its region.
        """
        region, current = self.gateway.region, self._followed
        starting, peer = not self.complete, self._peers.get(current)
        if starting and self.followed_list.denied and peer and peer.region == region:
            region, current = NO_REGION, VmName("")
        self.followed_list.denied = False
        candidates = list_candidates(self._peers, region, now)
        gateway = self.gateway.gateway
        return select_followed(gateway, current, candidates, starting=starting)

    def fetch_newer_routing(
        self, vm: VmName, version: RoutingVersion, evacuation_index: int, now: Instant
    ) -> None:
        """Request a newer routing table or evacuation list from one control process.

        Send no other such request within FETCH_INTERVAL_SECONDS.
        """
        view = self._balancer.view
        current_version = view.index.routing.version if view.index is not None else 0
        newer = version > current_version or evacuation_index > view.evacuation_index
        if not newer or now < self._next_fetch_at:
            return
        self._next_fetch_at = Instant(now + FETCH_INTERVAL_SECONDS)
        self._send_sync_request(vm, now, wants_routing=True)

    def _send_report(self, vm: VmName, now: Instant) -> None:
        """Send a full request, or a short report where that says as much."""
        peer, gateway = self._peers[vm], self._describe_gateway()
        if vm == self._followed or not peer.report.allows_short(gateway):
            self._send_sync_request(vm, now)
            return
        peer.report.record_short(now)
        requests_per_s = self._balancer.view.requests_per_s
        self.send(vm, GatewayAlive(gateway.gateway, now, requests_per_s))

    def _describe_gateway(self) -> Gateway:
        if self.leaving:
            return replace(self.gateway, state=MemberState.LEAVING)
        state = MemberState.SERVING if self.ready else MemberState.STARTING
        return replace(self.gateway, state=state)

    def _send_sync_request(
        self, vm: VmName, now: Instant, *, wants_routing: bool = False
    ) -> None:
        view = self._balancer.view
        version = view.index.routing.version if view.index is not None else 0
        wants_changes = vm == self._followed and self.followed_list.needs_changes(
            view.applied, now
        )
        if wants_changes:
            self.followed_list.record_request(now)
        gateway = self._describe_gateway()
        self._peers[vm].report.record_request(gateway, now)
        self.send(
            vm,
            SyncRequest(
                gateway,
                self.followed_list.source,
                self.followed_list.revision,
                RoutingVersion(version),
                LogIndex(view.evacuation_index),
                wants_changes,
                view.digest,
                wants_routing,
                self._control_index,
                now,
                view.requests_per_s,
                self.followed_list.limits_revision,
                view.aged_rate_limits(now) if vm == self._followed else (),
            ),
        )

    def _update_links(self, nodes: tuple[Node, ...]) -> None:
        addresses = dict(self._seeds)
        addresses.update({node.vm: (node.host, node.port) for node in nodes})
        for vm in set(self._peers) - set(addresses):
            self._peers.pop(vm).link.stop(0.0)
        for vm, (host, port) in addresses.items():
            if vm not in self._peers:
                link = Link(
                    vm, host, port, self._host, partial(self._receive_envelope, vm)
                )
                link.start()
                self._peers[vm] = Peer(link, host, port)

    def _receive_envelope(self, vm: VmName, envelope: Envelope) -> None:
        self.post(PeerMessage(vm, envelope.message))
