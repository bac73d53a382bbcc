"""Store the routing table with the highest version, and the evacuated zones."""

from __future__ import annotations

from typing import Any

from ...core.states import RoutingVerdict
from ...messages.commands import Entry
from ...messages.commands import EvacuationAnswer
from ...messages.commands import PutRouting
from ...messages.commands import RoutingAnswer
from ...messages.commands import SetEvacuation
from ...text.parse import load_json
from .state import APPLIERS
from .state import MachineState


@APPLIERS.register(PutRouting)
def apply_put_routing(
    state: MachineState, command: PutRouting, entry: Entry
) -> RoutingAnswer:
    """Accept a routing table with a higher version; ignore one with a lower version.

    The current version is accepted again if its content is the same, else rejected.
    """
    current_version = state.routing_version
    if command.version > current_version or not state.routing:
        state.routing_version = command.version
        state.routing = command.routing
        state.routing_source = command.source
        return RoutingAnswer(RoutingVerdict.ACCEPTED, command.version)
    if command.version < current_version:
        return RoutingAnswer(RoutingVerdict.SUPERSEDED, current_version)
    if is_same_document(command.source, state.routing_source):
        return RoutingAnswer(RoutingVerdict.ACCEPTED, current_version)
    return RoutingAnswer(RoutingVerdict.VERSION_REUSED, current_version)


def is_same_document(one: bytes, other: bytes) -> bool:
    """Return whether two documents contain the same JSON."""
    return one == other or _parse_or_raw(one) == _parse_or_raw(other)


def _parse_or_raw(document: bytes) -> Any:
    parsed = load_json(document)
    return parsed.ok if parsed.is_ok() else document


@APPLIERS.register(SetEvacuation)
def apply_evacuation(
    state: MachineState, command: SetEvacuation, entry: Entry
) -> EvacuationAnswer:
    """Add a zone to the evacuated zones, or remove it."""
    changed = command.evacuated != (command.zone in state.evacuated)
    if changed and command.evacuated:
        state.evacuated = [*state.evacuated, command.zone]
    elif changed:
        state.evacuated = [zone for zone in state.evacuated if zone != command.zone]
    if changed:
        state.evacuation_index = entry.index
    return EvacuationAnswer(state.evacuation_index)
