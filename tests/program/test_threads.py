"""Test that threads of a pool start and end with its load."""

from __future__ import annotations

import threading
import time
from types import SimpleNamespace

import pytest

from snipecart.program import threads
from snipecart.program.threads import MIN_THREADS
from snipecart.program.threads import ElasticThreadPool


class FakeConnection:
    """Occupy a thread until it is released."""

    def __init__(self):
        self.started, self.release = threading.Event(), threading.Event()

    def communicate(self):
        """Block until the connection is released; ask for it to be closed."""
        self.started.set()
        self.release.wait(10.0)
        return False

    def close(self):
        """Do nothing."""


@pytest.fixture
def pool(monkeypatch):
    """Return a running pool of at most 20 threads that end after 0.2 idle seconds."""
    monkeypatch.setattr(threads, "THREAD_IDLE_SECONDS", 0.2)
    stats = {"Worker Threads": {}, "Enabled": False}
    server = SimpleNamespace(stats=stats, error_log=print)
    pool = server.requests = ElasticThreadPool(server, 20)
    pool.start()
    yield pool
    pool.stop(2.0)


def wait_until(condition):
    """Block until a condition is true, or fail after five seconds."""
    end = time.monotonic() + 5.0
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.01)


def start_connections(pool, number):
    connections = [FakeConnection() for _ in range(number)]
    for conn in connections:
        pool.put(conn)
    return connections


def test_connections_do_not_wait_for_each_other_below_the_maximum(pool):
    connections = start_connections(pool, 20)
    wait_until(lambda: all(conn.started.is_set() for conn in connections))
    assert (pool.size, pool.in_progress) == (20, 20)
    for conn in connections:
        conn.release.set()
    wait_until(lambda: pool.in_progress == 0)


def test_connections_over_the_maximum_wait_and_count_as_in_progress(pool):
    connections = start_connections(pool, 25)
    wait_until(lambda: sum(conn.started.is_set() for conn in connections) == 20)
    assert (pool.size, pool.in_progress) == (20, 25)
    for conn in connections:
        conn.release.set()
    wait_until(lambda: pool.in_progress == 0)
    assert all(conn.started.is_set() for conn in connections)


def test_idle_threads_end_down_to_the_minimum(pool):
    for conn in start_connections(pool, 12):
        conn.release.set()
    wait_until(lambda: pool.size == MIN_THREADS)
    later = start_connections(pool, 5)
    wait_until(lambda: all(conn.started.is_set() for conn in later))
    for conn in later:
        conn.release.set()


def test_no_connection_is_left_behind_when_threads_end(pool, monkeypatch):
    monkeypatch.setattr(threads, "THREAD_IDLE_SECONDS", 0.001)
    for _ in range(300):
        for conn in (connections := start_connections(pool, 4)):
            conn.release.set()
        wait_until(lambda: all(conn.started.is_set() for conn in connections))
    wait_until(lambda: pool.in_progress == 0)
