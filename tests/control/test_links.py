"""Test the links between control processes."""

from __future__ import annotations

import pytest

from snipecart.control import factory
from snipecart.control.factory import Links
from snipecart.control.node import ALL_NODES
from snipecart.messages.commands import Node
from snipecart.messages.raft import JoinAnswer
from snipecart.messages.raft import JoinRequest
from snipecart.program.settings import ControlSettings


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
