"""Describe backend servers and the objects assigned to them, for the planner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...core.ids import EndpointId
    from ...core.ids import InstanceId
    from ...core.ids import RegionName
    from ...core.ids import UnixMillis

JOIN_SHARE = 15
"""Percentage of an object's requests that warm a server before it owns the object.

The others keep their response times, as they still go to servers that are warm.
"""


@dataclass(frozen=True)
class PlannedServer:
    """Describe a backend server to the planner."""

    instance: InstanceId
    endpoint: EndpointId
    region: RegionName
    slots: int
    born: UnixMillis
    is_usable: bool
    """Whether it serves and its zone isn't evacuated."""
    is_cold: bool


@dataclass(frozen=True)
class Assignment:
    """Store the servers of an object."""

    owners: tuple[InstanceId, ...]
    joining: InstanceId | None = None
    """Server that a part of the requests warms before it owns the object."""
    joining_since: float = 0.0
    replaces: InstanceId | None = None
    """Owner that gives up the object once the joining server has it."""

    @property
    def servers(self) -> tuple[InstanceId, ...]:
        """Return the servers, the joining one last."""
        return self.owners + ((self.joining,) if self.joining else ())

    @property
    def final_owners(self) -> tuple[InstanceId, ...]:
        """Return the owners as of the end of the object's move."""
        return tuple(name for name in self.servers if name != self.replaces)

    @property
    def shares(self) -> tuple[int, ...]:
        """Return the percentage of the requests of each server."""
        joining = (JOIN_SHARE,) if self.joining else ()
        left = 100 - sum(joining)
        count = max(1, len(self.owners))
        return (*(left // count for _ in self.owners), *joining)
