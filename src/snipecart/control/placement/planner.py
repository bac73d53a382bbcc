"""Assign the objects of one service to backend servers.

Addresses load that uses up warm servers: an object that runs on several servers is
cold on most of them, and hash placement loads some servers twice as much as others.
Each object gets one server while one suffices, loads stay within a bound, and
assignments change only for a reason.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ...core.rendezvous import rendezvous_score
from .assignment import Assignment
from .copies import add_copies
from .copies import remove_copies
from .joins import finish_joins
from .moves import rebalance
from .policies import PLACEMENT_POLICIES
from .region_shifts import ShiftAllowance

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from ...core.ids import InstanceId
    from ...core.ids import Instant
    from ...core.ids import UnixMillis
    from .assignment import PlannedServer
    from .demand import ObjectDemand

MAX_PLACED = 250
"""Objects that get a first server in one step, so that a step takes under 0.1 s."""

MAX_SCORES = 20_000
"""Rendezvous scores that are kept, for memory; all are dropped when there are more."""

MIN_READY_FRACTION = 0.5
"""Part of the slots on servers that are not cold below which cold ones get objects.

While a whole fleet starts, all its servers are cold.
"""


@dataclass
class ServicePlan:
    """Store the assignments of one service, and revise them step by step."""

    policy: str = "regional-demand"
    """Key of a placement policy."""
    assignments: dict[int, Assignment] = field(default_factory=dict)
    servers: dict[InstanceId, PlannedServer] = field(default_factory=dict)
    """Servers that may get objects, as of the latest step."""
    most_slots: int = 0
    """Slots of the one with the most."""
    loads: dict[InstanceId, float] = field(default_factory=dict)
    """Planned load of each of them, in slots."""
    mean: float = 0.0
    """Planned load per slot."""
    allowance: ShiftAllowance = field(default_factory=ShiftAllowance)
    _born: dict[InstanceId, UnixMillis] = field(default_factory=dict)
    _scores: dict[tuple[int, InstanceId], float] = field(default_factory=dict)

    def step(
        self,
        demand: Iterable[ObjectDemand],
        servers: Iterable[PlannedServer],
        now: Instant,
        *,
        may_move: bool = True,
        may_forget: bool = True,
    ) -> set[int]:
        """Revise the plan, and return the objects whose assignment has changed.

        Without ``may_move`` and ``may_forget`` objects keep servers that serve, and
        those without demand keep their assignments: a leader that has just started
        knows little of the demand.
        """
        before = dict(self.assignments)
        by_object = {item.object: item for item in demand}
        self._set_servers(servers)
        if may_forget:
            for item in set(self.assignments) - set(by_object):
                del self.assignments[item]
        if self.servers:
            self.allowance.refill(by_object.values(), now)
            self._remove_lost()
            finish_joins(self.assignments, by_object, now)
            self._sum_loads(by_object)
            self._place_unassigned(by_object)
            add_copies(self, by_object, now)
            if may_move:
                remove_copies(self, by_object)
                rebalance(self, by_object, now)
        changed = before.keys() ^ self.assignments.keys()
        return changed | {
            item
            for item in before.keys() & self.assignments.keys()
            if before[item] != self.assignments[item]
        }

    def busiest_over_mean(self) -> float:
        """Return the busiest server's planned load for its slots over the mean."""
        if not self.mean:
            return 0.0
        return max(map(self.ratio, self.servers), default=0.0)

    def ratio(self, name: InstanceId, added: float = 0.0) -> float:
        """Return a server's planned load for its slots over the mean."""
        load = self.loads.get(name, 0.0) + added
        return load / self.servers[name].slots / self.mean if self.mean else 0.0

    def score(self, item: int, name: InstanceId) -> float:
        """Return the rendezvous score of a server for an object."""
        key = (item, name)
        if key not in self._scores:
            if len(self._scores) >= MAX_SCORES:
                self._scores.clear()
            server = self.servers[name]
            self._scores[key] = rendezvous_score(
                str(item), server.endpoint, max(1, server.slots)
            )
        return self._scores[key]

    def choose(
        self, demand: ObjectDemand, excluded: frozenset[InstanceId]
    ) -> InstanceId:
        """Return the policy's server, or the least loaded one if none has capacity."""
        name = PLACEMENT_POLICIES.get(self.policy)(self, demand, excluded)
        if name is not None:
            return name
        names = [name for name in self.servers if name not in excluded]
        return min(names, key=lambda name: (self.ratio(name, demand.load), name))

    def assign(self, demand: ObjectDemand, assignment: Assignment) -> None:
        """Replace the assignment of an object, and update the planned loads."""
        before = self.assignments[demand.object].final_owners
        after = assignment.final_owners
        for name in before:
            self.loads[name] -= demand.load / len(before)
        for name in after:
            self.loads[name] += demand.load / len(after)
        self.assignments[demand.object] = assignment

    def _set_servers(self, servers: Iterable[PlannedServer]) -> None:
        """Choose the servers that may get objects; restarted ones lose theirs."""
        usable = [item for item in servers if item.is_usable]
        ready = [item for item in usable if not item.is_cold]
        slots = sum(item.slots for item in usable)
        enough = sum(item.slots for item in ready) >= slots * MIN_READY_FRACTION
        self.servers = {
            item.instance: item
            for item in usable
            if not item.is_cold
            or not enough
            or self._born.get(item.instance) == item.born
        }
        self.most_slots = max((item.slots for item in self.servers.values()), default=0)
        gone = set(self._born) - set(self.servers)
        for name in gone:
            del self._born[name]
        for name, server in self.servers.items():
            self._born[name] = server.born
        if gone:
            self._scores = {
                key: value for key, value in self._scores.items() if key[1] not in gone
            }

    def _remove_lost(self) -> None:
        """Take objects from servers that are gone, leaving, evacuated or restarted."""
        for item, assignment in list(self.assignments.items()):
            if all(name in self.servers for name in assignment.servers):
                continue
            owners = tuple(name for name in assignment.owners if name in self.servers)
            joining = assignment.joining if assignment.joining in self.servers else None
            if joining is not None and len(owners) < len(assignment.owners):
                owners, joining = (*owners, joining), None
            replaces = assignment.replaces if assignment.replaces in owners else None
            self.assignments[item] = Assignment(
                owners, joining, assignment.joining_since, joining and replaces
            )

    def _sum_loads(self, by_object: Mapping[int, ObjectDemand]) -> None:
        """Sum the planned load of each server as of the end of all moves."""
        self.loads = dict.fromkeys(self.servers, 0.0)
        total = 0.0
        for demand in by_object.values():
            total += demand.load
            assignment = self.assignments.get(demand.object)
            if assignment is not None:
                owners = assignment.final_owners
                for name in owners:
                    self.loads[name] += demand.load / len(owners)
        slots = sum(item.slots for item in self.servers.values())
        self.mean = total / slots if slots else 0.0

    def _place_unassigned(self, by_object: Mapping[int, ObjectDemand]) -> None:
        """Give each object without a server one, the most requested first."""
        items = sorted(by_object.values(), key=lambda item: (-item.load, item.object))
        placed = 0
        for demand in items:
            assignment = self.assignments.get(demand.object)
            has_owners = assignment is not None and assignment.owners
            if has_owners or placed >= MAX_PLACED:
                continue
            placed += 1
            name = self.choose(demand, frozenset())
            self.assignments[demand.object] = Assignment((name,))
            self.loads[name] += demand.load
        for item, assignment in list(self.assignments.items()):
            if not assignment.owners:
                del self.assignments[item]
