"""Record concurrent reads and submissions under freezes, and check the history."""

from __future__ import annotations

import json
import signal
import threading
import time
from pathlib import Path

import pytest
import urllib3
from bench.fleet import TEXT
from bench.fleet import running_fleet
from bench.fleet import wait_for
from urllib3.exceptions import HTTPError

from tests.history import History


@pytest.fixture
def fleet(tmp_path):
    """Run a fleet of few parts."""
    with running_fleet(tmp_path, "127.33", part=8, drain_s=1, entries=2) as fleet:
        yield fleet


class Clients:
    """Read from and submit to each control process by itself."""

    def __init__(self, fleet) -> None:
        self.history = History()
        self.stop = threading.Event()
        peers = fleet.settings("control-1")["peers"]
        self.addresses = [f"{peer['host']}:{peer['http_port']}" for peer in peers]
        self.text = json.loads(Path(TEXT).read_text())

    def read(self, address: str) -> int | None:
        """Read the version that one control process vouches for."""
        began = time.monotonic()
        try:
            url = f"http://{address}/text"
            answer = urllib3.request("GET", url, retries=False, timeout=8.0)
        except HTTPError:
            return None
        if answer.status != 200:
            return None
        version = int(answer.headers["Snipecart-Version"])
        self.history.note(began, version)
        return version

    def read_on(self, address: str) -> None:
        """Read until told to stop."""
        while not self.stop.is_set():
            self.read(address)
            self.stop.wait(0.02)

    def submit_on(self, person: int) -> None:
        """Submit texts until told to stop, resending what was not answered."""
        turn = 0
        while not self.stop.is_set():
            turn += 1
            base = next(filter(None, map(self.read, self.addresses)), None)
            if base is not None:
                self.submit(person * 10_000 + turn, base)
            self.stop.wait(0.05)

    def submit(self, number: int, base: int) -> None:
        """Submit one text, to each control process until one answers for good."""
        text = {**self.text, "links": []}
        text["services"][0]["kinds"][0]["deadline_ms"] = 1 + number
        began = time.monotonic()
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
                self.history.note(began, answer.json()["version"], base)
            if answer.status in (200, 409):
                return
            time.sleep(0.2)


def test_the_accepted_text_is_linearizable(fleet):
    clients = Clients(fleet)
    threads = [
        threading.Thread(target=clients.read_on, args=(address,))
        for address in clients.addresses
    ]
    threads += [
        threading.Thread(target=clients.submit_on, args=(one,)) for one in range(3)
    ]
    for thread in threads:
        thread.start()
    for seconds in (3.0, 1.2, 5.0):
        time.sleep(2.0)
        leader = fleet.leader()
        if leader:
            fleet.signal(leader, signal.SIGSTOP)
            time.sleep(seconds)
            fleet.signal(leader, signal.SIGCONT)
    leader = fleet.leader() or "control-1"
    fleet.kill(leader)
    time.sleep(3.0)
    fleet.start(leader)
    wait_for(fleet.leader)
    time.sleep(2.0)
    clients.stop.set()
    for thread in threads:
        thread.join()
    writes = [one for one in clients.history.seen if one.base is not None]
    assert len(writes) > 10
    clients.history.check()
