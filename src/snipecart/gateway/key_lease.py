"""Prove the routing table of a gateway current, from answers of control processes.

Handles API keys that a newer table has removed: a gateway that is cut off, was paused,
or is fed by a control process that lags must not admit them for longer than the lease.
An accepted table is in the logs of a majority of the voters before it is acknowledged,
and any two majorities share a voter. So once a majority has answered requests that
were sent at some time or later, and no answer lists a newer table, no newer table had
been acknowledged at that time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..core.ids import Instant
from ..core.ids import LogIndex
from ..core.ids import RoutingVersion

if TYPE_CHECKING:
    from ..core.ids import NodeId
    from ..messages.discovery import LogWitness
    from .balancing.routes import RouteIndex

NEVER = Instant(-math.inf)


@dataclass(frozen=True)
class TableProof:
    """State that no table newer than a version had been acknowledged at some time."""

    version: RoutingVersion = RoutingVersion(0)
    proved_at: Instant = NEVER
    """Time as of which this holds, by the clock of the gateway."""

    def age(self, version: RoutingVersion, now: Instant) -> float:
        """Return the seconds since a table was proved current; infinite if never.

        The proof also holds for a table that is newer than its own version, and says
        nothing about an older one.
        """
        return now - self.proved_at if version >= self.version else math.inf


NO_PROOF = TableProof()


def describe_age_ms(age: float) -> int:
    """Return the age of a proof in milliseconds; -1 without one."""
    return int(age * 1000) if math.isfinite(age) else -1


@dataclass(frozen=True)
class WitnessedAnswer:
    """Store what the log of a process contained when it answered a request."""

    sent_at: Instant
    """When the gateway sent the request."""
    witness: LogWitness


class TableProver:
    """Compute since when a majority of the voters has known no newer table.

    An answer counts only if its request was sent after the gateway learned its voters:
    several membership changes in a row can leave no voter in common with the majority
    that stored an earlier table.
    """

    def __init__(self) -> None:
        self.proof = NO_PROOF
        self._voters: tuple[NodeId, ...] = ()
        self._members_index = LogIndex(0)
        self._voters_known_at = NEVER
        self._answers: dict[NodeId, WitnessedAnswer] = {}

    def adopt_voters(
        self, members_index: LogIndex, voters: tuple[NodeId, ...], now: Instant
    ) -> None:
        """Use the voters of a committed membership, unless it is older."""
        if not voters or members_index <= self._members_index:
            return
        self._members_index, self._voters = members_index, voters
        self._voters_known_at = now
        self._answers.clear()

    def record(self, sent_at: Instant, witness: LogWitness) -> None:
        """Record the answer to a request sent at ``sent_at``.

        A later one takes the place of an earlier one of the same process, even if it
        proves less.
        """
        node = witness.node
        if node not in self._voters or sent_at < self._voters_known_at:
            return
        before = self._answers.get(node)
        if before is None or sent_at >= before.sent_at:
            self._answers[node] = WitnessedAnswer(sent_at, witness)

    def prove(self, version: RoutingVersion) -> TableProof:
        """Return the newest proof for a gateway whose table has this version.

        An earlier proof stands until there is a newer one.
        """
        times = sorted(
            (
                item.sent_at
                for item in self._answers.values()
                if item.witness.routing_version <= version
                and item.witness.members_index <= self._members_index
            ),
            reverse=True,
        )
        majority = len(self._voters) // 2 + 1
        if len(times) >= majority and times[majority - 1] > self.proof.proved_at:
            self.proof = TableProof(version, times[majority - 1])
        return self.proof


class KeyLease:
    """Share the latest proof with the threads that admit requests.

    A thread must read the proof before the table: the table is then at least as new as
    the one that the proof is about.
    """

    def __init__(self, seconds: float = 0.0) -> None:
        self.seconds = seconds
        """Age of a proof up to which it admits API keys; 0 admits them always."""
        self.proof = NO_PROOF
        """Replaced as a whole by the task that receives the answers."""

    def is_valid(
        self, proof: TableProof, version: RoutingVersion, now: Instant
    ) -> bool:
        """Return whether a proof admits API keys of a table now."""
        return not self.seconds or proof.age(version, now) <= self.seconds

    def proof_age(self, index: RouteIndex | None, now: Instant) -> float:
        """Return the seconds since a table was proved current; infinite without one."""
        proof = self.proof
        return math.inf if index is None else proof.age(index.routing.version, now)

    def lacks_proof(self, index: RouteIndex | None, now: Instant) -> bool:
        """Return whether requests with API keys would be rejected for lack of proof."""
        proof = self.proof
        if not self.seconds or index is None or not index.requires_keys:
            return False
        return not self.is_valid(proof, index.routing.version, now)
