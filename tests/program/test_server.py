"""Test over sockets that incomplete heads of requests hold no thread."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import ExitStack
from contextlib import contextmanager

import logbook
import pytest

from snipecart.core.events import HTTP_THREAD_BLOCKED
from snipecart.core.task import ANY_TASK_FAILED
from snipecart.program import server as server_module
from snipecart.program.http import make_wsgi_server
from snipecart.program.http import running_server
from snipecart.program.listener import HttpListener

HOST, PORT = "127.65.0.1", 8190
THREADS = 4
HEAD = b"GET /a HTTP/1.1\r\nHost: h\r\n"


def app(environ, start_response):
    """Answer with the request's path and body."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["PATH_INFO"].encode() + environ["wsgi.input"].read(length)
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


@contextmanager
def server(max_body_bytes=1_000_000, small_body_prefixes=(), **attributes):
    """Run a server of a few threads."""
    listener = HttpListener(HOST, PORT, THREADS, max_body_bytes, small_body_prefixes)
    http_server = make_wsgi_server(listener, app)
    for name, value in attributes.items():
        setattr(http_server, name, value)
    with running_server(http_server):
        yield http_server


def connect(*pieces):
    sock = socket.create_connection((HOST, PORT), timeout=5.0)
    for piece in pieces:
        sock.sendall(piece)
        time.sleep(0.02)
    return sock


def read_answer(sock):
    """Return all that arrives until the answer is complete or the peer closes."""
    data = b""
    while b"\r\n\r\n/" not in data and (piece := sock.recv(4096)):
        data += piece
    return data


@pytest.fixture
def slow_clients():
    """Open 100 connections that send a byte of a head each 0.1 s."""
    stopped, sockets = threading.Event(), []

    def send_slowly():
        while not stopped.wait(0.1):
            for sock in sockets:
                try:
                    sock.sendall(b"x")
                except OSError:
                    continue

    def start():
        sockets.extend(connect() for _ in range(100))
        for sock in sockets:
            sock.sendall(HEAD + b"A: ")
        threading.Thread(target=send_slowly, daemon=True).start()
        return sockets

    yield start
    stopped.set()
    for sock in sockets:
        sock.close()


def test_clients_that_send_their_heads_slowly_hold_no_thread(slow_clients):
    with server() as http_server:
        slow_clients()
        time.sleep(0.3)
        assert http_server.requests.in_progress == 0
        started_at = time.monotonic()
        for _ in range(5):
            with connect(HEAD + b"\r\n") as sock:
                assert read_answer(sock).endswith(b"/a")
        assert time.monotonic() - started_at < 1.0


def test_a_slow_head_ends_with_408_at_its_timeout(slow_clients):
    with server(head_timeout=0.5):
        started_at = time.monotonic()
        answers = {sock.recv(4096)[:12] for sock in slow_clients()}
        assert answers == {b"HTTP/1.1 408"}
        assert time.monotonic() - started_at < 2.0


@pytest.mark.parametrize("size", [1, 3, 7, 500])
def test_a_head_in_pieces_is_served(size):
    head = HEAD + b"A: " + b"b" * 100 + b"\r\n\r\n"
    pieces = [head[at : at + size] for at in range(0, len(head), size)]
    with server(), connect() as sock:
        for piece in pieces:
            sock.sendall(piece)
            time.sleep(0.002)
        assert read_answer(sock).endswith(b"/a")


def test_several_requests_on_one_connection_are_served():
    post = b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
    with server(), connect() as sock:
        for pieces in ([HEAD, b"\r\n"], [post + b"xyz"], [post, b"x", b"yz"]):
            for piece in pieces:
                sock.sendall(piece)
                time.sleep(0.02)
            assert read_answer(sock).endswith((b"/a", b"/bxyz"))


def test_pipelined_requests_are_served():
    with server(), connect((HEAD + b"\r\n") * 2 + HEAD) as sock:
        assert read_answer(sock)
        sock.sendall(b"\r\n")
        data = b""
        while data.count(b"/a") < 1:
            data += sock.recv(4096)


def test_a_client_that_waits_before_its_first_request_is_served():
    with server(head_timeout=0.2), connect() as sock:
        time.sleep(0.5)
        sock.sendall(HEAD + b"\r\n")
        assert read_answer(sock).endswith(b"/a")


def test_connections_that_send_nothing_delay_no_other_request():
    with server(timeout=3.0), ExitStack() as stack:
        for _ in range(5):
            stack.enter_context(connect())
        started_at = time.monotonic()
        with connect(HEAD + b"\r\n") as sock:
            assert read_answer(sock).endswith(b"/a")
        assert time.monotonic() - started_at < 0.5


def test_connections_that_send_nothing_stay_open_for_their_first_request():
    with server(timeout=1.0), ExitStack() as stack:
        silent = [stack.enter_context(connect()) for _ in range(5)]
        time.sleep(0.3)
        for sock in silent:
            sock.sendall(HEAD + b"\r\n")
            assert read_answer(sock).endswith(b"/a")


def test_a_head_that_is_too_long_is_rejected():
    with server(max_request_header_size=1000), connect(HEAD + b"A: ") as sock:
        sock.sendall(b"b" * 2000)
        assert sock.recv(4096)[:12] == b"HTTP/1.1 413"


def test_too_many_incomplete_heads_make_room_for_new_ones(monkeypatch):
    monkeypatch.setattr(server_module, "MAX_PARTIAL_HEADS", 10)
    with server():
        waiting = [connect(HEAD) for _ in range(15)]
        assert waiting[0].recv(10) == b""
        waiting[-1].sendall(b"\r\n")
        assert read_answer(waiting[-1]).endswith(b"/a")
        for sock in waiting:
            sock.close()


def test_a_head_in_pieces_is_served_without_low_water_marks(monkeypatch):
    monkeypatch.setattr(server_module, "_set_low_water_mark", lambda conn, size: None)
    with server(), connect(HEAD) as sock:
        time.sleep(0.2)
        sock.sendall(b"\r\n")
        assert read_answer(sock).endswith(b"/a")


def test_accepted_requests_are_answered_when_no_more_are_accepted():
    with server() as http_server:
        accepted = [connect(HEAD) for _ in range(20)]
        http_server.stop_accepting()
        with pytest.raises(ConnectionRefusedError):
            connect()
        for sock in accepted:
            sock.sendall(b"\r\n")
            assert read_answer(sock).endswith(b"/a")
            sock.close()


def test_a_server_that_accepts_no_more_can_be_asked_again():
    with server() as http_server:
        http_server.stop_accepting()
        started_at = time.monotonic()
        http_server.stop_accepting()
        assert time.monotonic() - started_at < 0.5


def test_an_idle_server_stops_without_a_wait():
    with server():
        time.sleep(0.2)
        started_at = time.monotonic()
    assert time.monotonic() - started_at < 0.3


def test_a_blocked_thread_of_the_server_is_logged(monkeypatch):
    monkeypatch.setattr(server_module, "BLOCKED_SECONDS", 0.0)
    with logbook.TestHandler().applicationbound() as log, server(), connect(HEAD):
        time.sleep(0.1)
        lines = [line.extra["event"] for line in log.records]
    assert HTTP_THREAD_BLOCKED.number in lines


@pytest.fixture
def no_task_failed():
    """Forget failed tasks before and after the test."""
    ANY_TASK_FAILED.clear()
    yield
    ANY_TASK_FAILED.clear()


def test_a_program_stops_once_its_server_has_ended_by_itself(no_task_failed):
    with server() as http_server:
        http_server.interrupt = RuntimeError("a thread of the pool failed")
        assert ANY_TASK_FAILED.wait(3.0)


def test_a_program_that_stops_its_server_counts_no_failed_task(no_task_failed):
    with server():
        pass
    assert not ANY_TASK_FAILED.wait(0.3)
