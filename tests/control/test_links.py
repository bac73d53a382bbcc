"""Test the links between control processes."""

from __future__ import annotations

from random import Random

import pytest

from snipecart.control import factory
from snipecart.control.factory import Links
from snipecart.control.machine.state import MachineState
from snipecart.control.node import ALL_NODES
from snipecart.control.node import NodeOutputs
from snipecart.control.node import NodeTask
from snipecart.control.raft.state import Membership
from snipecart.control.raft.state import RaftState
from snipecart.core.ids import Instant
from snipecart.messages.commands import Node
from snipecart.messages.raft import JoinAnswer
from snipecart.messages.raft import JoinRequest
from snipecart.program.settings import ControlSettings
from snipecart.wire.links import IncomingMessage


class RecordingLink:
    """Record the links that are opened."""

    opened = []
    posted = []

    def __init__(self, name, host, port, source, sink):
        self.opened.append((name, port))

    def start(self):
        """Do nothing."""

    def stop(self, grace):
        """Do nothing."""

    def post(self, message):
        """Record a message."""
        self.posted.append(message)


OTHER = Node("b/1", "b", "h", 3)


@pytest.fixture
def links(monkeypatch):
    """Return the links of a process whose settings list itself only."""
    monkeypatch.setattr(factory, "Link", RecordingLink)
    RecordingLink.opened, RecordingLink.posted = [], []
    peers = ({"vm": "a", "host": "h", "port": 1, "http_port": 2},)
    cfg = ControlSettings(
        vm="a", host="h", http_port=2, peer_port=1, data="d", peers=peers
    )
    return Links(cfg)


def test_a_member_that_returns_at_its_address_gets_a_link_again(links):
    for nodes in ((OTHER,), (), (OTHER,)):
        links.update_links(nodes)
    assert RecordingLink.opened == [("b", 3), ("b", 3)]


def test_a_vm_without_a_link_is_answered_on_its_own_connection(links):
    answers = []
    links.add_return_path("b", answers.append)
    links.send(OTHER.node, JoinAnswer(()))
    links.send(ALL_NODES, JoinRequest(OTHER))
    assert answers == [JoinAnswer(()), JoinRequest(OTHER)]


def test_a_vm_with_a_link_is_answered_on_the_link(links):
    answers = []
    links.add_return_path("b", answers.append)
    links.update_links((OTHER,))
    links.add_return_path("b", answers.append)
    links.send(OTHER.node, JoinAnswer(()))
    assert not answers
    assert len(RecordingLink.posted) == 1


def answer_join_request(leader):
    """Return the links of a voter with a leader after an answer names b and c."""
    voters = (Node("a/1", "a", "h", 1), Node("b/1", "b", "h", 2))
    state = RaftState("a/1", Random(1), last_leader_contact=Instant(0.0))
    state.memberships, state.leader = [Membership(1, voters, ())], leader
    links = []
    outputs = NodeOutputs(lambda to, message: None, lambda effect: True, links.append)
    node = NodeTask(state, MachineState(), voters[0], outputs)
    answer = JoinAnswer((voters[1], Node("c/1", "c", "h", 3)))
    node.handle([IncomingMessage(answer, lambda message: None)], Instant(0.0))
    return {item.vm for item in links[-1]}


def test_a_voter_with_an_old_log_gets_links_to_members_that_it_does_not_list():
    assert answer_join_request(leader="") == {"a", "b", "c"}
    assert answer_join_request(leader="c/1") == {"a", "b", "c"}


def test_a_voter_that_follows_a_leader_in_its_log_keeps_to_its_log():
    assert answer_join_request(leader="b/1") == {"a", "b"}


def test_links_close_while_the_membership_changes(links, monkeypatch):
    stopped = []

    class ClosingLink(RecordingLink):
        """Change the membership while it is stopped, as the node task may."""

        def stop(self, grace):
            stopped.append(self)
            links.update_links((*nodes, Node("d/1", "d", "h", 4)))

    monkeypatch.setattr(factory, "Link", ClosingLink)
    nodes = (OTHER, Node("c/1", "c", "h", 3))
    links.update_links(nodes)
    links.close()
    assert len(stopped) >= len(nodes)
