"""Follow the control processes: who serves, what is routed where."""

from __future__ import annotations

from dataclasses import dataclass
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
from ..messages.discovery import InstanceChanged
from ..messages.discovery import InstanceSeen
from ..messages.discovery import RoutingChanged
from ..messages.discovery import SyncAnswer
from ..messages.discovery import SyncRequest
from ..messages.discovery import digest_instances
from ..wire.codec import Envelope
from ..wire.links import Link

if TYPE_CHECKING:
    from ..messages.commands import Node
    from ..messages.discovery import Gateway
    from ..program.settings import ControlPeer
    from .balancing.task import BalancerTask

SYNC_EVERY = 0.5
"""Seconds between two requests to each control process."""

ANSWERS_FOR = 1.3
"""Seconds after its last answer for which a control process is followed."""

SYNC_SOON = 0.15
"""Seconds between two requests while this gateway is not ready."""

READY_ANYWAY = 1.0
"""Seconds after the first answer at which an incomplete list of servers must do.

Control processes that have just started learn all servers only from their reports.
"""


FETCH_EVERY = 0.2
"""Seconds between two requests for a newer routing table.

All control processes tell of a newer one; one copy is enough for a thin link.
"""

EMPTY_DIGEST = digest_instances(())


@dataclass(frozen=True)
class SetLeaving:
    """Tell all control processes that this gateway leaves."""


@dataclass(frozen=True)
class SetSeeds:
    """Name other control processes to begin with."""

    seeds: tuple[ControlPeer, ...]


@dataclass(frozen=True)
class FromPeer:
    """Hold what a control process sent."""

    vm: VmName
    message: Any


@dataclass
class Peer:
    """Follow one control process."""

    link: Link
    host: str
    port: int
    answered: Instant = Instant(-1e9)
    ready: bool = False


class SyncTask(Task):
    """Own the links to the control processes."""

    def __init__(
        self,
        gateway: Gateway,
        seeds: tuple[ControlPeer, ...],
        host: str,
        balancer: BalancerTask,
    ) -> None:
        super().__init__("sync", 8192)
        self.gateway = gateway
        self.leaving = False
        self.complete = False
        self._seeds = _addresses(seeds)
        self._host, self._balancer = host, balancer
        self._peers: dict[VmName, Peer] = {}
        self._followed = VmName("")
        self._source, self._revision = "", 0
        self._control_index = LogIndex(0)
        self._nodes: tuple[Node, ...] = ()
        """Control processes that the log named at that index."""
        self._fetch_due = Instant(0.0)
        self._first_answer: Instant | None = None
        self._due = Instant(0.0)

    @property
    def ready(self) -> bool:
        """Say whether this gateway knows enough to take requests."""
        return (
            self.complete and not self.leaving and self._balancer.view.index is not None
        )

    @property
    def followed(self) -> VmName:
        """Return the control process that tells of changes; empty for none."""
        return self._followed

    @property
    def peers(self) -> tuple[VmName, ...]:
        """Return all control processes that are asked."""
        return tuple(self._peers)

    def answering(self, now: Instant) -> list[VmName]:
        """Return the control processes that lately answered."""
        return [vm for vm, peer in self._peers.items() if _answers(peer, now)]

    def start(self) -> None:
        """Open the links to the seeds, then start this task."""
        self._relink(self._nodes)
        super().start()

    def close(self) -> None:
        """Close all links."""
        for peer in self._peers.values():
            peer.link.stop(0.5)

    def next_wait(self, now: Instant) -> float:
        """Block until the next round of requests."""
        return self._due - now

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Take what control processes sent, and ask them all when that is due."""
        for message in batch:
            if isinstance(message, SetLeaving):
                self.leaving = True
                self._due = now
            elif isinstance(message, SetSeeds):
                self._seeds = _addresses(message.seeds)
                self._relink(self._nodes)
            elif isinstance(message, FromPeer):
                self._take(message, now)
        if now >= self._due:
            soon = not (self.ready or self.leaving)
            self._due = Instant(now + (SYNC_SOON if soon else SYNC_EVERY))
            self._choose(now)
            for vm in self._peers:
                self._ask(vm)

    def _take(self, received: FromPeer, now: Instant) -> None:
        message, vm = received.message, received.vm
        if vm not in self._peers:
            return
        if isinstance(message, InstanceChanged):
            self._balancer.post(message)
            seen = InstanceSeen(self.gateway.gateway, message.instance.instance)
            self._peers[vm].link.post(Envelope(0, seen))
        elif isinstance(message, RoutingChanged):
            self._fetch(vm, message.routing_version, message.evacuation_index, now)
        elif isinstance(message, SyncAnswer):
            self._take_answer(vm, message, now)

    def _take_answer(self, vm: VmName, answer: SyncAnswer, now: Instant) -> None:
        peer = self._peers[vm]
        peer.answered, peer.ready = now, answer.ready
        if self._first_answer is None:
            self._first_answer = now
        if vm == self._followed:
            self._source, self._revision = answer.source, answer.revision
            waited = now > self._first_answer + READY_ANYWAY
            enough = waited and self._balancer.view.digest != EMPTY_DIGEST
            self.complete = self.complete or answer.ready or enough
        elif answer.instances or answer.complete or answer.gone:
            answer = replace(answer, instances=(), gone=(), complete=False)
        self._balancer.post(answer)
        if not answer.routing:
            self._fetch(vm, answer.routing_version, 0, now)
        if answer.control_index > self._control_index:
            self._control_index, self._nodes = answer.control_index, answer.control
            self._relink(self._nodes)

    def _choose(self, now: Instant) -> None:
        """Follow a control process that answers, the same one while it does."""
        current = self._peers.get(self._followed)
        if current is not None and _answers(current, now) and current.ready:
            return
        answering = self.answering(now)
        chosen = [vm for vm in answering if self._peers[vm].ready] or answering
        if not chosen:
            if current is not None and self._followed:
                emit(SYNC_SOURCE_LOST, followed=self._followed)
            self._followed = VmName("")
            return
        vm = min(chosen, key=lambda name: hash((name, self.gateway.gateway)))
        if vm != self._followed:
            self._followed = vm
            self._source, self._revision = "", 0
            emit(SYNC_SOURCE_SELECTED, vm=vm, ready=self._peers[vm].ready)

    def _fetch(
        self, vm: VmName, version: RoutingVersion, evacuation: int, now: Instant
    ) -> None:
        """Ask one control process for what is newer, and no other one soon after."""
        view = self._balancer.view
        held = view.index.routing.version if view.index is not None else 0
        newer = version > held or evacuation > view.evacuation_index
        if not newer or now < self._fetch_due:
            return
        self._fetch_due = Instant(now + FETCH_EVERY)
        self._ask(vm, wants_routing=True)

    def _ask(self, vm: VmName, *, wants_routing: bool = False) -> None:
        view = self._balancer.view
        version = view.index.routing.version if view.index is not None else 0
        self._peers[vm].link.post(
            Envelope(
                0,
                SyncRequest(
                    replace(self.gateway, state=self._state()),
                    self._source,
                    self._revision,
                    RoutingVersion(version),
                    LogIndex(view.evacuation_index),
                    vm == self._followed,
                    view.digest,
                    wants_routing,
                    self._control_index,
                ),
            )
        )

    def _state(self) -> MemberState:
        if self.leaving:
            return MemberState.LEAVING
        return MemberState.SERVING if self.ready else MemberState.STARTING

    def _relink(self, nodes: tuple[Node, ...]) -> None:
        wanted = dict(self._seeds)
        wanted.update({node.vm: (node.host, node.port) for node in nodes})
        for vm in set(self._peers) - set(wanted):
            self._peers.pop(vm).link.stop(0.0)
        for vm, (host, port) in wanted.items():
            if vm not in self._peers:
                link = Link(vm, host, port, self._host, partial(self._on_frame, vm))
                link.start()
                self._peers[vm] = Peer(link, host, port)

    def _on_frame(self, vm: VmName, framed: Envelope) -> None:
        self.post(FromPeer(vm, framed.message))


def _addresses(seeds: tuple[ControlPeer, ...]) -> dict[VmName, tuple[str, int]]:
    return {peer.vm: (peer.host, peer.port) for peer in seeds}


def _answers(peer: Peer, now: Instant) -> bool:
    return now < peer.answered + ANSWERS_FOR
