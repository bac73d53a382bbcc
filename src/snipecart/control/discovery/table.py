"""Decide which reports of backend servers are news, apart from sockets and clocks."""

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
from ...messages.discovery import LAST_SEQUENCE
from ...messages.discovery import digest_of

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ...messages.discovery import Instance

SILENCE_TIMEOUT = 8.0
"""Seconds without a report after which an instance counts as gone."""

TOMBSTONE_KEPT = 120.0
"""Seconds for which late reports of a gone instance are known as such."""

FIRST_SEQUENCE = 1
"""Sequence of a run's first report."""

COLD_TOLERANCE = 0.5
"""Seconds by which two reports of the same cold spell may differ."""

LATE_REPORTS = 10.0
"""Seconds for which reports of a run of unknown birth that is gone may still come."""


class UpdateVerdict(StrEnum):
    """Say what a report changed."""

    NEWS = "news"
    REPEATED = "repeated"
    STALE = "stale"


@dataclass(frozen=True)
class Change:
    """Tell that an instance is new, different or gone."""

    instance: Instance
    gone: bool


@dataclass(frozen=True)
class Judged:
    """Hold what a report was and what it changed."""

    verdict: UpdateVerdict
    said: Instance
    """The report, a departure with the birth of the run that it names."""
    changes: tuple[Change, ...] = ()


@dataclass
class Known:
    """Hold an instance that serves or drains."""

    instance: Instance
    cold_until: Instant
    heard: Instant
    revision: int


@dataclass
class Tombstone:
    """Remember an instance that is gone, so that late reports don't revive it."""

    instance: Instance
    buried: Instant
    revision: int


@dataclass
class InstanceTable:
    """Hold all instances as their latest reports describe them."""

    known: dict[InstanceId, Known] = field(default_factory=dict)
    gone: dict[InstanceId, Tombstone] = field(default_factory=dict)
    holders: dict[EndpointId, InstanceId] = field(default_factory=dict)
    """The latest instance at each address."""
    revision: int = 0
    forgotten: int = 0
    """Revisions up to here may lack tombstones."""

    def report(self, said: Instance, gone: bool, now: Instant) -> Judged:
        """Take a report; one of an earlier run or sequence changes nothing."""
        if gone:
            return self._depart(said, now)
        if self._is_stale(said) or self._is_of_the_gone(said, now):
            return Judged(UpdateVerdict.STALE, said)
        replaced = self._replace_holder(said, now)
        known = self.known.get(said.instance)
        cold_until = Instant(now + said.cold / 1000)
        if known is not None and _is_repeated(known, said, cold_until, now):
            known.heard = now
            known.instance = replace(said, cold=known.instance.cold)
            return Judged(UpdateVerdict.REPEATED, said, replaced)
        self.revision += 1
        self.known[said.instance] = Known(said, cold_until, now, self.revision)
        self.gone.pop(said.instance, None)
        self.holders[said.endpoint] = said.instance
        return Judged(UpdateVerdict.NEWS, said, (*replaced, Change(said, gone=False)))

    def expire(self, now: Instant) -> list[Change]:
        """Bury the silent, and forget the long buried."""
        silent = [
            item for item in self.known.values() if now > item.heard + SILENCE_TIMEOUT
        ]
        for item in silent:
            self._bury(item.instance, now)
        old = [
            tomb for tomb in self.gone.values() if now > tomb.buried + TOMBSTONE_KEPT
        ]
        for tomb in old:
            del self.gone[tomb.instance.instance]
            self.forgotten = max(self.forgotten, tomb.revision)
        return [Change(item.instance, gone=True) for item in silent]

    def hold(self, now: Instant) -> None:
        """Take all known instances for alive now, as their reports could not come."""
        for item in self.known.values():
            item.heard = now

    def digest(self) -> int:
        """Return the digest of all known instances."""
        return digest_of(item.instance for item in self.known.values())

    def changes_since(self, revision: int, now: Instant) -> Iterator[Change]:
        """Yield what a reader at a revision has not seen."""
        for item in self.known.values():
            if item.revision > revision:
                yield Change(at_present(item, now), gone=False)
        for tomb in self.gone.values():
            if tomb.revision > revision:
                yield Change(tomb.instance, gone=True)

    def _is_stale(self, said: Instance) -> bool:
        before = self._latest(said.instance)
        if before is not None and _is_before(said, before):
            return True
        holder = self.known.get(self.holders.get(said.endpoint, InstanceId("")))
        if holder is None or holder.instance.instance == said.instance:
            return False
        return 0 < said.born < holder.instance.born

    def _is_of_the_gone(self, said: Instance, now: Instant) -> bool:
        """Say whether a report is of a run that left before it was known here.

        If so, its birth is remembered. The first report of another run of that id
        tells itself by its sequence.
        """
        tomb = self.gone.get(said.instance)
        if tomb is None or tomb.instance.born or not said.born:
            return False
        late = said.sequence > FIRST_SEQUENCE and now < tomb.buried + LATE_REPORTS
        if late:
            tomb.instance = replace(tomb.instance, born=said.born)
        return late

    def _latest(self, instance: InstanceId) -> Instance | None:
        if instance in self.known:
            return self.known[instance].instance
        tomb = self.gone.get(instance)
        return tomb.instance if tomb is not None else None

    def _depart(self, said: Instance, now: Instant) -> Judged:
        last = self._latest(said.instance)
        if last is not None and 0 < said.born < last.born:
            return Judged(UpdateVerdict.STALE, said)
        born = said.born or (last.born if last is not None else said.born)
        buried = replace(last or said, born=born, sequence=LAST_SEQUENCE)
        was_known = said.instance in self.known
        self._bury(buried, now)
        if not was_known:
            return Judged(UpdateVerdict.REPEATED, buried)
        return Judged(UpdateVerdict.NEWS, buried, (Change(buried, gone=True),))

    def _replace_holder(self, said: Instance, now: Instant) -> tuple[Change, ...]:
        before = self.known.get(self.holders.get(said.endpoint, InstanceId("")))
        if before is None or before.instance.instance == said.instance:
            return ()
        self._bury(before.instance, now)
        return (Change(before.instance, gone=True),)

    def _bury(self, instance: Instance, now: Instant) -> None:
        self.revision += 1
        self.known.pop(instance.instance, None)
        self.gone[instance.instance] = Tombstone(instance, now, self.revision)
        if self.holders.get(instance.endpoint) == instance.instance:
            del self.holders[instance.endpoint]


def _is_before(said: Instance, before: Instance) -> bool:
    """Say whether a report is of an earlier run, or earlier in the same one."""
    if said.born != before.born:
        return said.born < before.born
    return said.sequence < before.sequence


def _is_repeated(
    known: Known, said: Instance, cold_until: Instant, now: Instant
) -> bool:
    before = known.instance
    same = replace(said, sequence=before.sequence, cold=before.cold) == before
    return same and abs(max(known.cold_until, now) - cold_until) < COLD_TOLERANCE


def at_present(known: Known, now: Instant) -> Instance:
    """Return an instance with what is left of its cold spell."""
    cold = Millis(max(0, int((known.cold_until - now) * 1000)))
    return replace(known.instance, cold=cold)


def is_leaving(change: Change) -> bool:
    """Say whether a change takes an instance out of service."""
    return change.gone or change.instance.state is EndpointState.LEAVING
