"""Test the connections between processes over sockets."""

from __future__ import annotations

import socket
import time

import pytest

from snipecart.wire import links
from snipecart.wire.links import Listener

HOST, PORT = "127.66.0.1", 7790


def test_a_listener_refuses_connections_over_its_limit(monkeypatch):
    monkeypatch.setattr(links, "MAX_CONNECTIONS", 2)
    listener = Listener(HOST, PORT, print)
    listener.start()
    kept = []
    try:
        for _ in range(2):
            kept.append(socket.create_connection((HOST, PORT), timeout=5.0))
        with socket.create_connection((HOST, PORT), timeout=5.0) as refused:
            assert refused.recv(1) == b""
        kept.pop().close()
        time.sleep(0.3)
        taken = socket.create_connection((HOST, PORT), timeout=0.5)
        with taken, pytest.raises(TimeoutError):
            taken.recv(1)
    finally:
        for conn in kept:
            conn.close()
        listener.stop()
