"""Choose the control process that a gateway follows, without socket or clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from zlib import crc32

from ..core.ids import VmName
from ..core.rendezvous import rendezvous_score

if TYPE_CHECKING:
    from ..core.ids import MemberId

HOME_READY_SECONDS = 10.0
"""Time for which a process of the own region must be ready before a move to it.

A move fetches a complete list of servers, so a process that starts and fails again must
not cause one each time.
"""

HOME_SPREAD_SECONDS = 10.0
"""Time over which the gateways of a region move, so that not all fetch at once."""

NO_PROCESS = VmName("")


@dataclass(frozen=True)
class Candidate:
    """Describe a control process that answers."""

    vm: VmName
    ready: bool
    """Whether it had a heartbeat of every server when it last answered."""
    fresh: bool
    """Whether it has answered a report that was sent lately."""
    home: bool
    """Whether it is in the gateway's region."""
    ready_seconds: float
    """Time for which all its answers have said that it is ready."""


def select_followed(
    gateway: MemberId,
    current: VmName,
    candidates: list[Candidate],
    *,
    starting: bool,
) -> VmName:
    """Keep following a control process that answers, or select another.

    Turn from one that isn't ready to a ready one. Prefer the own region for each
    choice, and move to it from another region once that costs no freshness. Processes
    that fail together stay candidates until their last answers time out, so those that
    have answered lately come first. A hash spreads gateways over equal candidates.
    """
    kept = next((item for item in candidates if item.vm == current), None)
    any_ready = any(item.ready for item in candidates)
    if kept is not None and (kept.ready or not any_ready):
        if starting or kept.home:
            return kept.vm
        candidates = _settled_at_home(gateway, candidates) or [kept]
    if not candidates:
        return NO_PROCESS

    def preference(item: Candidate) -> tuple[bool, bool, bool, float]:
        score = rendezvous_score(gateway, item.vm, 1.0)
        return item.ready, item.fresh, item.home, score

    return max(candidates, key=preference).vm


def _settled_at_home(gateway: MemberId, candidates: list[Candidate]) -> list[Candidate]:
    """Return the processes of the own region that a gateway may move to."""
    delay = home_delay(gateway)
    return [
        item
        for item in candidates
        if item.home and item.ready and item.fresh and item.ready_seconds >= delay
    ]


def home_delay(gateway: MemberId) -> float:
    """Return how long a process of the own region must be ready before a move to it."""
    fraction = crc32(gateway.encode()) / (1 << 32)
    return HOME_READY_SECONDS + HOME_SPREAD_SECONDS * fraction
