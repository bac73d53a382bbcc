"""Track which departures of backend servers the replicated log has recorded."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ...core.ids import LogIndex
from ..machine.departures import supersedes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...core.ids import InstanceId
    from ...messages.discovery import Departure
    from ..machine.state import RecordedDeparture


@dataclass
class DepartureIndex:
    """Store the recorded departures by instance."""

    departures: dict[InstanceId, Departure] = field(default_factory=dict)
    index: LogIndex = LogIndex(0)
    """Highest log index of a recorded departure."""

    def update(self, recorded: Iterable[RecordedDeparture]) -> list[Departure]:
        """Replace the departures by those that the log has now; return the new ones."""
        before = self.index
        self.departures.clear()
        added = []
        for item in recorded:
            self.departures[item.departure.instance.instance] = item.departure
            self.index = max(self.index, item.index)
            if item.index > before:
                added.append(item.departure)
        return added

    def has(self, departure: Departure) -> bool:
        """Return whether a departure, or one that says more, is recorded."""
        known = self.departures.get(departure.instance.instance)
        return known is not None and supersedes(known, departure)
