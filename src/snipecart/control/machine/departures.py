"""Store the departures of backend servers until no late heartbeats can arrive."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...messages.discovery import DEPARTURE_LIFETIME
from ...messages.discovery import Departure
from ...messages.discovery import RecordDepartures
from .state import APPLIERS
from .state import MachineState
from .state import RecordedDeparture

if TYPE_CHECKING:
    from ...messages.commands import Entry


@APPLIERS.register(RecordDepartures)
def apply_departures(
    state: MachineState, command: RecordDepartures, entry: Entry
) -> RecordDepartures:
    """Store departures, unless the log has them, and remove expired ones."""
    _remove_expired(state)
    for departure in command.departures:
        name = departure.instance.instance
        known = state.departures.get(name)
        if known is not None and supersedes(known.departure, departure):
            continue
        state.departures.pop(name, None)
        state.departures[name] = RecordedDeparture(departure, entry.index, state.now)
    return command


def supersedes(known: Departure, received: Departure) -> bool:
    """Return whether a departure says the same of an instance as another, or more.

    Only the first heartbeat that says that a run leaves counts: a heartbeat from before
    it has a lower sequence number.
    """
    if known.instance.born != received.instance.born:
        return received.instance.born < known.instance.born
    return known.gone or not received.gone


def _remove_expired(state: MachineState) -> None:
    """Remove the departures after which no late heartbeats can arrive any more."""
    oldest_kept = state.now - DEPARTURE_LIFETIME * 1000
    for name, recorded in list(state.departures.items()):
        if recorded.at >= oldest_kept:
            break
        del state.departures[name]
