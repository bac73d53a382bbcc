"""Describe the control processes that a gateway is linked to."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from ..core.ids import Instant
from ..core.ids import RegionName
from ..core.ids import VmName
from .following import Candidate
from .short_reports import ReportState

if TYPE_CHECKING:
    from ..messages.discovery import SyncAnswer
    from ..program.settings import ControlPeer
    from ..wire.links import Link

PEER_TIMEOUT_SECONDS = 1.3
"""Time without an answer after which a control process is no longer followed."""

FRESH_SECONDS = 0.75
"""Time after its last answer for which a control process is preferred to others.

It has then answered one of the last two reports, which are 0.5 s apart.
"""

NO_REGION = RegionName("")
NO_LEADER = VmName("")


@dataclass(frozen=True)
class PeerMessage:
    """Pass a message from a control process to the task."""

    vm: VmName
    message: Any


@dataclass
class Peer:
    """Store the link to one control process and the state it reported."""

    link: Link
    host: str
    port: int
    answered_at: Instant = Instant(-1e9)
    """Time of its last answer."""
    ready: bool = False
    """Whether it knew all backend servers when it last answered."""
    ready_since: Instant = Instant(0.0)
    """Time of the first of its latest answers in a row that said so."""
    region: RegionName = NO_REGION
    """Its region; empty until it has stated one."""
    leader: VmName = NO_LEADER
    """Leader of the log, as it knew it when it last answered."""
    report: ReportState = field(default_factory=ReportState)
    """What it knows of this gateway."""

    def record_answer(self, answer: SyncAnswer, now: Instant) -> None:
        """Record the state that an answer reports."""
        if not (self.ready and self.is_answering(now)):
            self.ready_since = now
        self.answered_at, self.ready = now, answer.ready
        self.region, self.leader = answer.region, answer.leader

    def is_answering(self, now: Instant) -> bool:
        """Return whether its last answer is recent."""
        return now < self.answered_at + PEER_TIMEOUT_SECONDS


def list_candidates(
    peers: dict[VmName, Peer], region: RegionName, now: Instant
) -> list[Candidate]:
    """Return the control processes that answer, as a gateway of a region sees them."""
    return [
        Candidate(
            vm,
            peer.ready,
            now < peer.answered_at + FRESH_SECONDS,
            bool(region) and peer.region == region,
            now - peer.ready_since,
        )
        for vm, peer in peers.items()
        if peer.is_answering(now)
    ]


def addresses_by_vm(seeds: tuple[ControlPeer, ...]) -> dict[VmName, tuple[str, int]]:
    """Return the host and port of each control process by its VM."""
    return {peer.vm: (peer.host, peer.port) for peer in seeds}
