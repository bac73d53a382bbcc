"""Test that reads and submissions are linearizable while the leader freezes or dies."""

from __future__ import annotations

import json
import signal
import threading
import time
from pathlib import Path

import pytest
import urllib3
from bench.fleet import EXAMPLE_CONFIGURATION
from bench.fleet import running_fleet
from bench.fleet import wait_for
from urllib3.exceptions import HTTPError

from tests.history import History


@pytest.fixture
def fleet(tmp_path):
    """Run a fleet with few backend servers and two entry processes."""
    with running_fleet(tmp_path, "127.33", part=8, drain_s=1, entries=2) as fleet:
        yield fleet


class Clients:
    """Read from and submit to each control process, and record the history."""

    def __init__(self, fleet) -> None:
        self.history = History()
        self.stop = threading.Event()
        peers = fleet.read_settings("control-1")["peers"]
        self.addresses = [f"{peer['host']}:{peer['http_port']}" for peer in peers]
        self.text = json.loads(Path(EXAMPLE_CONFIGURATION).read_text())

    def read(self, address: str) -> int | None:
        """Return the version that one control process confirms, or None."""
        started = time.monotonic()
        try:
            url = f"http://{address}/text"
            answer = urllib3.request("GET", url, retries=False, timeout=8.0)
        except HTTPError:
            return None
        if answer.status != 200:
            return None
        version = int(answer.headers["Snipecart-Version"])
        self.history.record(started, version)
        return version

    def read_repeatedly(self, address: str) -> None:
        """Read until ``stop`` is set."""
        while not self.stop.is_set():
            self.read(address)
            self.stop.wait(0.02)

    def submit_repeatedly(self, client: int) -> None:
        """Submit configurations until ``stop`` is set, and resend unanswered ones."""
        count = 0
        while not self.stop.is_set():
            count += 1
            base = next(filter(None, map(self.read, self.addresses)), None)
            if base is not None:
                self.submit(client * 10_000 + count, base)
            self.stop.wait(0.05)

    def submit(self, number: int, base: int) -> None:
        """Submit a configuration to the control processes until one decides on it.

        Give up after 6 rounds.
        """
        text = {**self.text, "links": []}
        text["services"][0]["kinds"][0]["deadline_ms"] = 1 + number
        started = time.monotonic()
        for address in self.addresses * 6:
            url = f"http://{address}/submit?base={base}&submission=n{number}"
            try:
                body = json.dumps(text)
                answer = urllib3.request(
                    "POST", url, body=body, retries=False, timeout=8
                )
            except HTTPError:
                continue
            if answer.status == 200:
                self.history.record(started, answer.json()["version"], base)
            if answer.status in (200, 409):
                return
            time.sleep(0.2)


def test_the_accepted_configuration_is_linearizable(fleet):
    clients = Clients(fleet)
    threads = [
        threading.Thread(target=clients.read_repeatedly, args=(address,))
        for address in clients.addresses
    ]
    threads += [
        threading.Thread(target=clients.submit_repeatedly, args=(number,))
        for number in range(3)
    ]
    for thread in threads:
        thread.start()
    for seconds in (3.0, 1.2, 5.0):
        time.sleep(2.0)
        leader = fleet.find_leader()
        if leader:
            fleet.send_signal(leader, signal.SIGSTOP)
            time.sleep(seconds)
            fleet.send_signal(leader, signal.SIGCONT)
    leader = fleet.find_leader() or "control-1"
    fleet.kill(leader)
    time.sleep(3.0)
    fleet.start(leader)
    wait_for(fleet.find_leader)
    time.sleep(2.0)
    clients.stop.set()
    for thread in threads:
        thread.join()
    writes = [item for item in clients.history.operations if item.base is not None]
    assert len(writes) > 10
    clients.history.check()
