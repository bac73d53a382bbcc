"""Test which routing table and evacuated zones the replicated state keeps."""

from __future__ import annotations

from snipecart.control.machine.state import MachineState
from snipecart.control.machine.state import apply_entry
from snipecart.control.machine.state import dump_state
from snipecart.control.machine.state import load_state
from snipecart.core.states import RoutingVerdict
from snipecart.messages.commands import Entry
from snipecart.messages.commands import PutRouting
from snipecart.messages.commands import SetEvacuation


class Register:
    """Apply commands to one replicated state."""

    def __init__(self):
        self.state = MachineState()
        self.index = 0

    def apply(self, command):
        self.index += 1
        return apply_entry(self.state, Entry(self.index, 1, 0, command))

    def put(self, version, source):
        return self.apply(PutRouting(version, b"table", source)).verdict


def test_the_highest_version_wins_and_older_ones_change_nothing():
    register = Register()
    assert register.put(5, b'{"a": 1}') is RoutingVerdict.ACCEPTED
    assert register.put(3, b'{"a": 0}') is RoutingVerdict.SUPERSEDED
    assert register.state.routing_source == b'{"a": 1}'
    assert register.put(9, b'{"a": 2}') is RoutingVerdict.ACCEPTED
    assert register.state.routing_version == 9


def test_a_resend_is_confirmed_and_other_content_refused():
    register = Register()
    register.put(5, b'{"a": 1, "b": 2}')
    assert register.put(5, b'{"b":2,"a":1}') is RoutingVerdict.ACCEPTED
    assert register.put(5, b'{"a": 3}') is RoutingVerdict.VERSION_REUSED
    assert register.state.routing_source == b'{"a": 1, "b": 2}'


def test_evacuations_start_once_end_once_and_survive_a_snapshot():
    register = Register()
    first = register.apply(SetEvacuation("north-a", evacuated=True)).index
    assert register.apply(SetEvacuation("north-a", evacuated=True)).index == first
    restored = load_state(dump_state(register.state))
    assert restored.evacuated == ["north-a"]
    assert register.apply(SetEvacuation("north-a", evacuated=False)).index > first
    assert register.state.evacuated == []
