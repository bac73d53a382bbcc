"""Test the links between control processes."""

from __future__ import annotations

from snipecart.control import factory
from snipecart.control.factory import Links
from snipecart.messages.commands import Node
from snipecart.program.settings import ControlSettings


class RecordingLink:
    """Record the links that are opened."""

    opened = []

    def __init__(self, name, host, port, source, sink):
        self.opened.append((name, port))

    def start(self):
        """Do nothing."""

    def stop(self, grace):
        """Do nothing."""


def test_a_member_that_returns_at_its_address_gets_a_link_again(monkeypatch):
    monkeypatch.setattr(factory, "Link", RecordingLink)
    RecordingLink.opened = []
    peers = ({"vm": "a", "host": "h", "port": 1, "http_port": 2},)
    cfg = ControlSettings(
        vm="a", host="h", http_port=2, peer_port=1, data="d", peers=peers
    )
    links = Links(cfg)
    other = Node("b/1", "b", "h", 3)
    for nodes in ((other,), (), (other,)):
        links.update_links(nodes)
    assert RecordingLink.opened == [("b", 3), ("b", 3)]


def test_links_close_while_the_membership_changes(monkeypatch):
    stopped = []

    class ClosingLink(RecordingLink):
        """Change the membership while it is stopped, as the node task may."""

        def stop(self, grace):
            stopped.append(self)
            links.update_links((*nodes, Node("d/1", "d", "h", 4)))

    monkeypatch.setattr(factory, "Link", ClosingLink)
    peers = ({"vm": "a", "host": "h", "port": 1, "http_port": 2},)
    links = Links(
        ControlSettings(
            vm="a", host="h", http_port=2, peer_port=1, data="d", peers=peers
        )
    )
    nodes = (Node("b/1", "b", "h", 3), Node("c/1", "c", "h", 3))
    links.update_links(nodes)
    links.close()
    assert len(stopped) >= len(nodes)
