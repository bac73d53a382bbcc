"""Track instances of backend servers by their heartbeats, without sockets or clocks."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import StrEnum
from typing import TYPE_CHECKING

from ...core.ids import EndpointId
from ...core.ids import InstanceId
from ...core.ids import Instant
from ...core.ids import Millis
from ...core.states import EndpointState
from ...messages.discovery import DEPARTURE_LIFETIME
from ...messages.discovery import FINAL_SEQUENCE
from ...messages.discovery import digest_instances

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ...core.ids import ServiceName
    from ...messages.discovery import Instance
    from ...messages.discovery import RepeatedHeartbeat

SILENCE_TIMEOUT = 8.0
"""Seconds without a heartbeat after which an instance counts as gone."""

FIRST_SEQUENCE = 1
"""Sequence number of the first heartbeat of an instance."""

COLD_TOLERANCE = 0.5
"""Seconds by which two heartbeats may differ in the end of the same cold period."""

LATE_HEARTBEAT_WINDOW = 10.0
"""Seconds after a departure for which late heartbeats may still arrive.

Applies to instances that left before this process received their start time, and to
what a process that has started again is told.
"""


class UpdateVerdict(StrEnum):
    """List the verdicts on a heartbeat or departure: new, repeated or outdated."""

    NEWS = "news"
    REPEATED = "repeated"
    STALE = "stale"


@dataclass(frozen=True)
class Change:
    """Describe an instance that is new, different or gone."""

    instance: Instance
    gone: bool


@dataclass(frozen=True)
class UpdateResult:
    """Store the verdict on a heartbeat or departure, and the changes it caused."""

    verdict: UpdateVerdict
    received: Instance
    """The received instance; for a departure, with the start time of its instance."""
    changes: tuple[Change, ...] = ()


@dataclass
class LiveInstance:
    """Store an instance that serves or drains."""

    instance: Instance
    cold_until: Instant
    last_heartbeat_at: Instant
    revision: int
    forwarded_at: Instant = Instant(-1e9)
    """When this process last forwarded the whole instance to the others."""


@dataclass
class Tombstone:
    """Store a gone instance, so that late heartbeats don't restore it."""

    instance: Instance
    removed_at: Instant
    revision: int


@dataclass
class InstanceTable:
    """Store all instances as their latest heartbeats describe them."""

    live: dict[InstanceId, LiveInstance] = field(default_factory=dict)
    tombstones: dict[InstanceId, Tombstone] = field(default_factory=dict)
    instance_by_endpoint: dict[EndpointId, InstanceId] = field(default_factory=dict)
    """The latest instance at each address."""
    named_services: frozenset[ServiceName] = frozenset()
    """Services in the routing table."""
    revision: int = 0
    compacted_revision: int = 0
    """Highest revision of a removed tombstone; older readers need all instances."""
    _digest: tuple[int, int] = (-1, 0)
    """Revision for which the digest was computed, and the digest."""

    def apply_update(
        self, received: Instance, gone: bool, now: Instant
    ) -> UpdateResult:
        """Record a heartbeat or departure, unless a later one is stored."""
        if gone:
            return self._record_departure(received, now)
        if self._is_stale(received) or self._is_late_heartbeat(received, now):
            return UpdateResult(UpdateVerdict.STALE, received)
        replaced = self._replace_at_endpoint(received, now)
        current = self.live.get(received.instance)
        cold_until = Instant(now + received.cold / 1000)
        if current is not None and _is_repeated(current, received, cold_until, now):
            current.last_heartbeat_at = now
            current.instance = replace(received, cold=current.instance.cold)
            return UpdateResult(UpdateVerdict.REPEATED, received, replaced)
        self.revision += 1
        self.live[received.instance] = LiveInstance(
            received, cold_until, now, self.revision
        )
        self.tombstones.pop(received.instance, None)
        self.instance_by_endpoint[received.endpoint] = received.instance
        return UpdateResult(
            UpdateVerdict.NEWS, received, (*replaced, Change(received, gone=False))
        )

    def touch(self, repeated: RepeatedHeartbeat, now: Instant) -> None:
        """Record that an instance is alive, if this table has that run of it.

        The stored sequence number stays that of the stored state: a gateway must not
        take an old state for a later one.
        """
        current = self.live.get(repeated.instance)
        if current is not None and current.instance.born == repeated.born:
            current.last_heartbeat_at = now

    def expire(self, now: Instant) -> list[Change]:
        """Remove silent instances and expired tombstones."""
        silent = [
            item
            for item in self.live.values()
            if now > item.last_heartbeat_at + SILENCE_TIMEOUT
        ]
        for item in silent:
            self._remove(item.instance, now)
        expired = [
            tombstone
            for tombstone in self.tombstones.values()
            if now > tombstone.removed_at + DEPARTURE_LIFETIME
        ]
        for tombstone in expired:
            del self.tombstones[tombstone.instance.instance]
            self.compacted_revision = max(self.compacted_revision, tombstone.revision)
        return [Change(item.instance, gone=True) for item in silent]

    def extend_lifetimes(self, now: Instant) -> None:
        """Set the last heartbeat of all live instances to now.

        Used after a period in which this process received no heartbeats.
        """
        for item in self.live.values():
            item.last_heartbeat_at = now

    def digest(self) -> int:
        """Return the digest of all live instances."""
        if self._digest[0] != self.revision:
            instances = (item.instance for item in self.live.values())
            self._digest = (self.revision, digest_instances(instances))
        return self._digest[1]

    def changes_since(self, revision: int, now: Instant) -> Iterator[Change]:
        """Yield the changes that a reader at a revision lacks."""
        for item in self.live.values():
            if item.revision > revision:
                yield Change(with_remaining_cold(item, now), gone=False)
        for tombstone in self.tombstones.values():
            if tombstone.revision > revision:
                yield Change(tombstone.instance, gone=True)

    def cold(self, now: Instant) -> Iterator[Instance]:
        """Yield the instances that are cold."""
        for item in self.live.values():
            if now < item.cold_until:
                yield item.instance

    def departures(self, now: Instant) -> Iterator[Change]:
        """Yield the instances that drain, and those that left a short time ago."""
        for item in self.live.values():
            if item.instance.state is EndpointState.LEAVING:
                yield Change(with_remaining_cold(item, now), gone=False)
        for tombstone in self.tombstones.values():
            departed = tombstone.instance.sequence == FINAL_SEQUENCE
            if departed and now < tombstone.removed_at + LATE_HEARTBEAT_WINDOW:
                yield Change(tombstone.instance, gone=True)

    def has_departed(self, instance: Instance) -> bool:
        """Return whether it is stored that a run of an instance has left."""
        tombstone = self.tombstones.get(instance.instance)
        if tombstone is None or tombstone.instance.born != instance.born:
            return False
        return tombstone.instance.sequence == FINAL_SEQUENCE

    def _is_stale(self, received: Instance) -> bool:
        """Return whether a later heartbeat is stored.

        It may be of the same instance, or of a later one at the same address. An
        instance of a service without routes never takes the address of one with routes:
        its heartbeat may come from another writer.
        """
        latest = self._latest(received.instance)
        if latest is not None and _is_older(received, latest):
            return True
        current = self.live.get(
            self.instance_by_endpoint.get(received.endpoint, InstanceId(""))
        )
        if current is None or current.instance.instance == received.instance:
            return False
        if self._is_named(current.instance) and not self._is_named(received):
            return True
        return 0 < received.born < current.instance.born

    def _is_named(self, instance: Instance) -> bool:
        return instance.service in self.named_services

    def _is_late_heartbeat(self, received: Instance, now: Instant) -> bool:
        """Return whether a heartbeat is of an instance that left before it was stored.

        If so, store its start time in the tombstone. The first heartbeat of a new
        instance with the same id is recognised by its sequence number.
        """
        tombstone = self.tombstones.get(received.instance)
        if tombstone is None or tombstone.instance.born or not received.born:
            return False
        late = (
            received.sequence > FIRST_SEQUENCE
            and now < tombstone.removed_at + LATE_HEARTBEAT_WINDOW
        )
        if late:
            tombstone.instance = replace(tombstone.instance, born=received.born)
        return late

    def _latest(self, instance: InstanceId) -> Instance | None:
        if instance in self.live:
            return self.live[instance].instance
        tombstone = self.tombstones.get(instance)
        return tombstone.instance if tombstone is not None else None

    def _record_departure(self, received: Instance, now: Instant) -> UpdateResult:
        """Replace an instance by a tombstone, unless a later instance has its id.

        A departure without a start time applies to the stored instance.
        """
        latest = self._latest(received.instance)
        if latest is not None and 0 < received.born < latest.born:
            return UpdateResult(UpdateVerdict.STALE, received)
        born = received.born or (latest.born if latest is not None else received.born)
        departed = replace(latest or received, born=born, sequence=FINAL_SEQUENCE)
        was_known = received.instance in self.live
        self._remove(departed, now)
        if not was_known:
            return UpdateResult(UpdateVerdict.REPEATED, departed)
        return UpdateResult(
            UpdateVerdict.NEWS, departed, (Change(departed, gone=True),)
        )

    def _replace_at_endpoint(
        self, received: Instance, now: Instant
    ) -> tuple[Change, ...]:
        """Remove another instance at the address of a received one."""
        current = self.live.get(
            self.instance_by_endpoint.get(received.endpoint, InstanceId(""))
        )
        if current is None or current.instance.instance == received.instance:
            return ()
        self._remove(current.instance, now)
        return (Change(current.instance, gone=True),)

    def _remove(self, instance: Instance, now: Instant) -> None:
        self.revision += 1
        self.live.pop(instance.instance, None)
        self.tombstones[instance.instance] = Tombstone(instance, now, self.revision)
        if self.instance_by_endpoint.get(instance.endpoint) == instance.instance:
            del self.instance_by_endpoint[instance.endpoint]


def _is_older(received: Instance, before: Instance) -> bool:
    """Return whether a heartbeat is of an earlier instance or sequence number."""
    if received.born != before.born:
        return received.born < before.born
    return received.sequence < before.sequence


def _is_repeated(
    current: LiveInstance, received: Instance, cold_until: Instant, now: Instant
) -> bool:
    """Return whether a heartbeat brings no change but its sequence number."""
    before = current.instance
    same = replace(received, sequence=before.sequence, cold=before.cold) == before
    return same and abs(max(current.cold_until, now) - cold_until) < COLD_TOLERANCE


def with_remaining_cold(current: LiveInstance, now: Instant) -> Instance:
    """Return an instance with the remainder of its cold period."""
    cold = Millis(max(0, int((current.cold_until - now) * 1000)))
    if cold == current.instance.cold:
        return current.instance
    return replace(current.instance, cold=cold)


def is_leaving(change: Change) -> bool:
    """Return whether a change takes an instance out of service."""
    return change.gone or change.instance.state is EndpointState.LEAVING
