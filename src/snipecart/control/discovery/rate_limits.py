"""Keep the rate limits that backend servers name in their answers to gateways."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ...core.ids import Instant
from ...core.ids import Millis
from ...messages.discovery import RateLimit

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from ...core.ids import InstanceId
    from ...messages.discovery import Instance
    from .table import InstanceTable

LIFTED_LIMIT_LIFETIME = 10.0
"""Seconds for which a lifted limit is kept, to recognise earlier notices of it."""


MAX_AGE_MS = 2**32 - 1
"""Age that is listed for all older limits, as messages have 32 bits for it."""


@dataclass(frozen=True)
class NamedLimit:
    """Store what a backend server said last about its rate limit."""

    limit: RateLimit
    named_at: Instant
    """When a gateway got the answer."""


@dataclass
class RateLimitTable:
    """Store the latest rate limit of each backend server, as gateways report it."""

    limits: dict[InstanceId, NamedLimit] = field(default_factory=dict)
    revision: int = 1
    """Increases with each change."""
    changed: set[InstanceId] = field(default_factory=set)
    """Servers whose limits have changed since the last gossip."""

    def record(self, received: Iterable[RateLimit], now: Instant) -> None:
        """Apply limits that gateways or other control processes report."""
        for limit in received:
            named_at = Instant(now - limit.age / 1000)
            known = self.limits.get(limit.instance)
            if known is not None and _is_outdated(limit, named_at, known):
                continue
            self.limits[limit.instance] = NamedLimit(limit, named_at)
            before = known.limit if known is not None else None
            if before is None or _value(before) != _value(limit):
                self.revision += 1
                self.changed.add(limit.instance)

    def remove_stale(self, table: InstanceTable, now: Instant) -> None:
        """Remove limits of servers that are gone, and those lifted some time ago."""
        for name, item in list(self.limits.items()):
            live = table.live.get(name)
            is_gone = live is None or live.instance.born != item.limit.born
            lifted = not item.limit.per_s
            if is_gone or (lifted and now > item.named_at + LIFTED_LIMIT_LIFETIME):
                del self.limits[name]
                self.revision += 1

    def in_force(self, now: Instant) -> tuple[RateLimit, ...]:
        """Return all limits that are not lifted."""
        return tuple(
            _aged(item, now) for item in self.limits.values() if item.limit.per_s
        )

    def limited(self, table: InstanceTable) -> Iterator[Instance]:
        """Yield the live instances that limit their rate."""
        for name, item in self.limits.items():
            live = table.live.get(name)
            if live is not None and item.limit.per_s:
                yield live.instance

    def take_changes(self, now: Instant, *, everything: bool) -> tuple[RateLimit, ...]:
        """Return the limits for the next gossip, and start to collect the next ones."""
        names = self.limits.keys() if everything else self.changed & self.limits.keys()
        changes = tuple(_aged(self.limits[name], now) for name in names)
        self.changed.clear()
        return changes


def _value(limit: RateLimit) -> tuple[int, float]:
    return limit.born, limit.per_s


def _is_outdated(limit: RateLimit, named_at: Instant, known: NamedLimit) -> bool:
    """Return whether a limit is of an earlier run or an earlier answer."""
    if limit.born != known.limit.born:
        return limit.born < known.limit.born
    return named_at < known.named_at


def _aged(item: NamedLimit, now: Instant) -> RateLimit:
    limit = item.limit
    age = Millis(min(MAX_AGE_MS, max(0, int((now - item.named_at) * 1000))))
    return RateLimit(limit.instance, limit.born, limit.per_s, age)
