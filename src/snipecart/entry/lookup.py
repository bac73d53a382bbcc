"""Answer which entry VMs a caller should use."""

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

FIRST_TURNS = 1 << 16
"""Processes begin their turns at random, so that they do not name one alike."""

NAMED = 3
"""Entry processes that one answer names, each in another availability zone."""


def choose_entries(
    members: tuple[Member, ...], region: RegionName, turn: int
) -> tuple[Member, ...]:
    """Name serving members of different zones, the caller's region first."""
    serving = [item for item in members if item.state is MemberState.SERVING]
    serving.sort(key=lambda item: item.member)
    if not serving:
        return ()
    offset = turn % len(serving)
    turned = serving[offset:] + serving[:offset]
    turned.sort(key=lambda item: item.region != region)
    chosen: list[Member] = []
    zones: set[str] = set()
    for item in turned:
        if item.zone not in zones:
            chosen.append(item)
            zones.add(item.zone)
    chosen += [item for item in turned if item not in chosen]
    return tuple(chosen[:NAMED])


def describe_entry(member: Member) -> dict[str, Any]:
    """Return a member as answers spell it."""
    return {
        "vm": member.vm,
        "region": member.region,
        "zone": member.zone,
        "host": member.host,
        "ports": {item.rank: item.port for item in member.ports},
    }


class LookupSource:
    """Take look-ups as a WSGI application, with answers kept ready."""

    def __init__(self, steering: SteeringTask, own: Member, cache_s: float) -> None:
        self._steering, self._own, self._cache_s = steering, own, cache_s
        self._turns = count(Random(own.member).randrange(FIRST_TURNS))
        self._made_for: tuple[Member, ...] = ()
        self._ready: dict[tuple[str, int], bytes] = {}

    def __call__(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        """Answer one look-up."""
        query = parse_qs(environ.get("QUERY_STRING", ""))
        region = RegionName(query.get("region", [""])[0])
        body = self._answer(region, next(self._turns))
        LOOKUPS.inc()
        headers = [
            ("Content-Type", JSON_CONTENT_TYPE),
            ("Content-Length", str(len(body))),
            ("Cache-Control", f"max-age={int(self._cache_s)}"),
        ]
        start_response("200 OK", headers)
        return [body]

    def _answer(self, region: RegionName, turn: int) -> bytes:
        view = self._steering.view
        members = view.members or (() if view.draining else (self._own,))
        if members is not self._made_for and members != self._made_for:
            self._made_for = members
            self._ready = {}
        place = (region, turn % max(1, len(members)))
        if place not in self._ready:
            if len(self._ready) > 4096:
                self._ready = {}
            chosen = choose_entries(members, region, place[1])
            self._ready[place] = to_json(
                {
                    "entries": [describe_entry(item) for item in chosen],
                    "cache_s": self._cache_s,
                }
            )
        return self._ready[place]
