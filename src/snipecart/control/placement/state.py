"""Keep the placement plan of a control process, which the leader revises."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from heapq import nlargest
from math import inf
from typing import TYPE_CHECKING

from ...core.events import PLACEMENT_BEGUN
from ...core.events import PLACEMENT_ENDED
from ...core.events import PLACEMENT_LED
from ...core.events import emit
from ...core.ids import Instant
from ...core.ids import Term
from ...messages.placement import MAX_PLANNED_OBJECTS
from ...messages.placement import Coverage
from ...messages.placement import PlacedObject
from ...messages.placement import PlacementUpdate
from ...messages.placement import RegionDemand
from ...messages.placement import pack_update
from .assignment import JOIN_SHARE
from .assignment import Assignment
from .assignment import PlannedServer
from .demand import UNKEYED
from .demand import DemandTable
from .modes import PlannedServices
from .plan import NumberedPlan
from .planner import ServicePlan

if TYPE_CHECKING:
    from ...core.ids import RegionName
    from ...core.ids import ServiceName
    from ...messages.placement import DemandReport
    from .demand import ObjectDemand

STEP_INTERVAL = 0.5
"""Seconds between two revisions of the plan."""

PLACE_DELAY = 0.1
"""Seconds until an object without a server gets one.

Until then its requests warm a server in each region.
"""

RECOVERY_TIME = 1.0
"""Seconds for which a leader without a plan asks gateways for the one that they use.

Each gateway reports at least once in this time, unless the fleet is large.
"""

MAX_ASKED = 3
"""Gateways that a leader without a plan asks for it; some may fail to send theirs."""

CHECK_INTERVAL = 0.5
"""Seconds between two checks of which services are planned."""

BROADCAST_INTERVAL = 1.0
"""Least seconds between two updates to the other control processes."""

COMPLETE_INTERVAL = 10.0
"""Seconds between two complete plans to them, for those that missed an update."""

MOVE_DELAY = 4.0
"""Seconds after the first report until demand is known well enough to move objects."""

FORGET_DELAY = 30.0
"""Seconds after the first report until objects without demand may leave the plan."""

REGION_STEP = 5
"""Percentage to which the demand of regions is rounded, so that it seldom changes."""

ServersByService = dict["ServiceName", list[PlannedServer]]


@dataclass
class PlacementState:
    """Store the plan, and for a leader what it is revised from."""

    planned: PlannedServices = field(default_factory=PlannedServices)
    plan: NumberedPlan = field(default_factory=NumberedPlan)
    demand: DemandTable = field(default_factory=DemandTable)
    services: dict[ServiceName, ServicePlan] = field(default_factory=dict)
    term: Term = Term(0)
    """Term in which this process leads; 0 if it doesn't."""
    _recovery_ends: float = -inf
    """Until when this leader asks gateways for their plan."""
    _asked: int = 0
    """Gateways that were asked."""
    _check_due: float = 0.0
    _step_due: float = 0.0
    _broadcast_due: float = 0.0
    _complete_due: float = 0.0
    _broadcast_number: int = 0
    """Number of the plan that the other processes were sent last."""

    @property
    def applies(self) -> bool:
        """Return whether gateways are to report demand."""
        return bool(self.planned.services)

    def busiest_over_mean(self) -> float:
        """Return the busiest server's planned load for its slots over the mean."""
        plans = self.services.values()
        return max((plan.busiest_over_mean() for plan in plans), default=0.0)

    def set_term(self, term: Term, now: Instant) -> None:
        """Begin or end to lead; a new leader continues with the newest plan it has."""
        if term == self.term:
            return
        self.term = term
        self.demand = DemandTable()
        self.services = {}
        if term and self.applies:
            self._begin_to_lead(now)

    def record(self, report: DemandReport, now: Instant) -> PlacementUpdate | None:
        """Record a gateway's demand, and return what its plan lacks.

        Return None if this process does not lead or has no plan.
        """
        if not (self.term and self.applies):
            return None
        self.demand.record(report, now)
        if now < self._recovery_ends:
            return self._ask_for_plan(report)
        if self._names_unplaced(report):
            self._step_due = min(self._step_due, now + PLACE_DELAY)
        return self.plan.update_since(report.plan)

    def _ask_for_plan(self, report: DemandReport) -> PlacementUpdate | None:
        if not report.plan or self._asked >= MAX_ASKED:
            return None
        self._asked += 1
        return PlacementUpdate(0, 0, complete=False, wanted=True)

    def adopt(self, update: PlacementUpdate, now: Instant) -> None:
        """Keep the newest plan of the leader, or recover it from a gateway."""
        if not self.term:
            self.plan.apply(update)
        elif now < self._recovery_ends and self.plan.apply(update):
            self._recovery_ends = now
            self._continue_plan()

    def check_due(self, now: Instant) -> bool:
        """Return whether the services are to be checked, or the plan revised."""
        has_demand = self.term and self.demand.started_at is not None
        return now >= (
            min(self._check_due, self._step_due) if has_demand else self._check_due
        )

    def _names_unplaced(self, report: DemandReport) -> bool:
        placed = self.plan.placed
        services = {
            service
            for service in self.planned.services
            if service not in self.services
            or len(self.services[service].assignments) < MAX_PLANNED_OBJECTS
        }
        return any(
            (part.service, item) not in placed
            for part in report.demand
            if part.service in services
            for item in part.objects
            if item != UNKEYED
        )

    def run(
        self,
        servers: ServersByService,
        now: Instant,
        *,
        settled: bool,
        gateways: int = 1,
    ) -> PlacementUpdate | None:
        """Revise the plan if it is due; return an update for the other processes."""
        if now >= self._check_due:
            self._check_due = now + CHECK_INTERVAL
            if settled:
                self._check_services(servers, gateways, now)
        is_step_due = now >= self._step_due
        if is_step_due:
            self._step_due = now + STEP_INTERVAL
        if not (self.term and (self.applies or self.plan.placed)):
            return None
        if now < self._recovery_ends:
            return None
        if not self.plan.number:
            self._continue_plan()
            self._set_coverage(now)
        if is_step_due and self.demand.started_at is not None:
            self._step(servers, now)
        return self._take_broadcast(now)

    def _check_services(
        self, servers: ServersByService, gateways: int, now: Instant
    ) -> None:
        slots: dict[ServiceName, dict[RegionName, int]] = {}
        for service, items in servers.items():
            by_region = slots.setdefault(service, {})
            for item in items:
                by_region[item.region] = by_region.get(item.region, 0) + item.slots
        gateways_per_slot = {
            service: gateways * len(servers[service]) / sum(by_region.values())
            for service, by_region in slots.items()
            if by_region
        }
        before = self.planned.services
        after = self.planned.update(slots, gateways_per_slot, now)
        for service in after - before:
            emit(PLACEMENT_BEGUN, service=service, slots=slots.get(service, {}))
        for service in before - after:
            emit(PLACEMENT_ENDED, service=service)
        if self.term and after and not before:
            self._begin_to_lead(now)
        if self.term and before - after:
            self._end_plans(before - after)

    def _begin_to_lead(self, now: Instant) -> None:
        """Continue the newest plan; ask gateways for it if this process has none.

        If all control processes start at once, only gateways still know where objects
        are warm.
        """
        if self.plan.number:
            self._continue_plan()
        else:
            self._recovery_ends = now + RECOVERY_TIME
            self._asked = 0

    def _continue_plan(self) -> None:
        """Take over the newest plan as the leader of a term."""
        self.plan.lead(self.term)
        self.services = {}
        for (service, item), placed in self.plan.placed.items():
            plan = self.services.setdefault(service, ServicePlan())
            plan.assignments[item] = _to_assignment(placed)
        emit(PLACEMENT_LED, plan=self.plan.number, objects=len(self.plan.placed))

    def _end_plans(self, ended: frozenset[ServiceName]) -> None:
        self.plan.change(
            PlacedObject(service, item, (), ())
            for service, item in list(self.plan.placed)
            if service in ended
        )
        for service in ended:
            self.services.pop(service, None)

    def _step(self, servers: ServersByService, now: Instant) -> None:
        self.demand.remove_ended(now)
        observed = self.demand.observed_for(now)
        changes: list[PlacedObject] = []
        for service in sorted(self.planned.services):
            plan = self.services.setdefault(service, ServicePlan())
            changed = plan.step(
                _most_requested(self.demand.objects(service, now), plan),
                servers.get(service, ()),
                now,
                may_move=observed > MOVE_DELAY,
                may_forget=observed > FORGET_DELAY,
            )
            changes += (_to_placed(plan, service, item) for item in sorted(changed))
        self.plan.change(changes)
        self._set_coverage(now)

    def _set_coverage(self, now: Instant) -> None:
        services = tuple(sorted(self.planned.services))
        self.plan.set_coverage(Coverage(services, self._describe_regions(now)))

    def _describe_regions(self, now: Instant) -> tuple[RegionDemand, ...]:
        """Return the part of each region in the demand for each service, rounded.

        A leader that has just started has heard of few gateways; it keeps what it took
        over.
        """
        if self.demand.observed_for(now) <= MOVE_DELAY:
            return self.plan.coverage.regions
        described: list[RegionDemand] = []
        for service in sorted(self.planned.services):
            rates = self.demand.by_region(service, now)
            total = sum(rates.values())
            before = {
                item.region: item.percent
                for item in self.plan.coverage.regions
                if item.service == service
            }
            described += (
                RegionDemand(
                    service, region, _round(100 * rate / total, before.get(region))
                )
                for region, rate in sorted(rates.items())
                if total
            )
        return tuple(described)

    def _take_broadcast(self, now: Instant) -> PlacementUpdate | None:
        if now < self._broadcast_due:
            return None
        if now >= self._complete_due:
            self._broadcast_due = now + BROADCAST_INTERVAL
            self._complete_due = now + COMPLETE_INTERVAL
            self._broadcast_number = self.plan.number
            placed = self.plan.placed.values()
            return pack_update(self.plan.number, None, placed, self.plan.coverage)
        if self.plan.number == self._broadcast_number:
            return None
        self._broadcast_due = now + BROADCAST_INTERVAL
        update = self.plan.update_since(self._broadcast_number)
        self._broadcast_number = self.plan.number
        return update


def _round(percent: float, before: int | None) -> int:
    """Round a percentage; keep the earlier value while it is close."""
    if before is not None and abs(percent - before) < REGION_STEP:
        return before
    return round(percent / REGION_STEP) * REGION_STEP


def _most_requested(
    demand: list[ObjectDemand], plan: ServicePlan
) -> list[ObjectDemand]:
    """Return the objects to plan; planned ones stay while they have half the rate."""
    if len(demand) <= MAX_PLANNED_OBJECTS:
        return demand
    return nlargest(
        MAX_PLANNED_OBJECTS,
        demand,
        key=lambda item: item.rate * (2 if item.object in plan.assignments else 1),
    )


def _to_placed(plan: ServicePlan, service: ServiceName, item: int) -> PlacedObject:
    assignment = plan.assignments.get(item)
    if assignment is None:
        return PlacedObject(service, item, (), ())
    return PlacedObject(service, item, assignment.servers, assignment.shares)


def _to_assignment(placed: PlacedObject) -> Assignment:
    """Return the assignment in a plan that another leader made.

    A server that was joining becomes an owner beside the earlier one.
    """
    is_joining = len(placed.shares) > 1 and placed.shares[-1] == JOIN_SHARE
    if is_joining:
        return Assignment(placed.servers[:-1], placed.servers[-1])
    return Assignment(placed.servers)
