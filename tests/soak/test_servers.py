"""Test that the soak's backend servers run what a real one would."""

from __future__ import annotations

import socket
import time

import pytest

from .servers import SoakServer

HOST = "127.67.0.1"


class Recorder:
    """Keep the recorded runs."""

    def __init__(self):
        self.runs = []

    def post(self, run):
        """Record a run."""
        self.runs.append(run)


@pytest.fixture
def server():
    server = SoakServer(HOST, 1, "racks", "north-a", Recorder())
    yield server
    server.close()


@pytest.mark.parametrize(("sent", "runs"), [(b"", 0), (b"abc", 0), (b"abcd", 1)])
def test_a_request_whose_body_breaks_off_is_not_run(server, sent, runs):
    """Guards against a request that counts as changed where its gateway was killed."""
    head = b"POST /issue/1 HTTP/1.1\r\nExpect-Instance: %s\r\nContent-Length: 4\r\n\r\n"
    with socket.create_connection((HOST, 9001), timeout=5.0) as sock:
        sock.sendall(head % server.name.encode() + sent)
        sock.shutdown(socket.SHUT_WR)
        answer = sock.recv(4096)
    time.sleep(0.1)
    assert len(server.recorder.runs) == runs
    assert answer.startswith(b"HTTP/1.1 200 ") == bool(runs)
