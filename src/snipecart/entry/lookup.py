"""Answer lookups of the entry VMs that callers should use."""

from __future__ import annotations

from itertools import count
from random import Random
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qs

from ..core.ids import RegionName
from ..core.states import MemberState
from ..program.answers import JSON_CONTENT_TYPE
from ..program.answers import to_json
from .metrics import LOOKUPS

if TYPE_CHECKING:
    from ..messages.members import Member
    from .steering.task import SteeringTask

FIRST_TURN_RANGE = 1 << 16
"""Range of the random number at which each process starts its rotation.

Otherwise the processes would name the same entry process at the same time.
"""

MAX_ENTRIES = 3
"""Entry processes named in one answer, if possible in different zones."""


def select_entries(
    members: tuple[Member, ...], region: RegionName, turn: int
) -> tuple[Member, ...]:
    """Select serving members of different zones, the caller's region first.

    ``turn`` rotates the order of the members, to spread the callers.
    """
    serving_members = [item for item in members if item.state is MemberState.SERVING]
    serving_members.sort(key=lambda item: item.member)
    if not serving_members:
        return ()
    offset = turn % len(serving_members)
    rotation = serving_members[offset:] + serving_members[:offset]
    rotation.sort(key=lambda item: item.region != region)
    selection: list[Member] = []
    zones: set[str] = set()
    for item in rotation:
        if item.zone not in zones:
            selection.append(item)
            zones.add(item.zone)
    selection += [item for item in rotation if item not in selection]
    return tuple(selection[:MAX_ENTRIES])


def describe_entry(member: Member) -> dict[str, Any]:
    """Return a member in the format of lookup answers."""
    return {
        "vm": member.vm,
        "region": member.region,
        "zone": member.zone,
        "host": member.host,
        "ports": {item.rank: item.port for item in member.ports},
    }


class LookupApplication:
    """Answer lookups as a WSGI application, from cached bodies."""

    def __init__(
        self, steering: SteeringTask, own_member: Member, cache_s: float
    ) -> None:
        self._steering, self._own_member, self._cache_s = steering, own_member, cache_s
        self._turns = count(Random(own_member.member).randrange(FIRST_TURN_RANGE))
        self._cached_members: tuple[Member, ...] = ()
        self._cached_bodies: dict[tuple[str, int], bytes] = {}

    def __call__(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        """Answer one lookup."""
        query = parse_qs(environ.get("QUERY_STRING", ""))
        region = RegionName(query.get("region", [""])[0])
        body = self._make_body(region, next(self._turns))
        LOOKUPS.inc()
        headers = [
            ("Content-Type", JSON_CONTENT_TYPE),
            ("Content-Length", str(len(body))),
            ("Cache-Control", f"max-age={int(self._cache_s)}"),
        ]
        start_response("200 OK", headers)
        return [body]

    def _make_body(self, region: RegionName, turn: int) -> bytes:
        view = self._steering.view
        members = view.members or (() if view.draining else (self._own_member,))
        if members is not self._cached_members and members != self._cached_members:
            self._cached_members = members
            self._cached_bodies = {}
        cache_key = (region, turn % max(1, len(members)))
        if cache_key not in self._cached_bodies:
            if len(self._cached_bodies) > 4096:
                self._cached_bodies = {}
            selection = select_entries(members, region, cache_key[1])
            self._cached_bodies[cache_key] = to_json(
                {
                    "entries": [describe_entry(item) for item in selection],
                    "cache_s": self._cache_s,
                }
            )
        return self._cached_bodies[cache_key]
