"""Test the guarantees of the system while real processes are killed and frozen."""

from __future__ import annotations

import json
import random
import shutil
import signal
import threading
import time
from collections import Counter
from pathlib import Path

import pytest
from bench.fleet import EXAMPLE_CONFIGURATION
from bench.fleet import running_fleet
from bench.fleet import wait_for

from snipecart.bench.caller import create_request_key


@pytest.fixture
def fleet(tmp_path):
    """Run a fleet for one test."""
    options = {"part": 4, "drain_s": 2, "cache_s": 1, "service_ms": 30}
    with running_fleet(tmp_path, "127.32", **options) as fleet:
        yield fleet


class Callers:
    """Send non-idempotent calls from threads, and resend those with unknown outcome."""

    def __init__(self, fleet, count: int = 4) -> None:
        self.fleet = fleet
        self.outcomes_by_key: dict[str, list[str]] = {}
        self.bodies_by_key: dict[str, set[bytes]] = {}
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._send, args=(seed,)) for seed in range(count)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _send(self, seed: int) -> None:
        rng = random.Random(seed)
        caller = self.fleet.create_caller()
        while not self._stop.is_set():
            key = create_request_key()
            key_outcomes = self.outcomes_by_key.setdefault(key, [])
            bodies = self.bodies_by_key.setdefault(key, set())
            for _ in range(3):
                result = caller.call(
                    "rack-registry", "issue-tag", "normal", key=key, deadline_ms=2000
                )
                key_outcomes.append(result.outcome)
                if result.outcome == "answered":
                    bodies.add(result.body)
                if result.outcome != "unknown" and rng.random() < 0.7:
                    break
                self._stop.wait(0.2)

    def check(self) -> Counter:
        """Compare the outcomes of the callers with the runs of the backend servers.

        Return the number of keys by their last outcome.
        """
        runs: Counter[str] = Counter()
        for counts in self.fleet.control_standins():
            assert not counts["repeated"]
            runs.update(counts["keys"])
        outcomes: Counter[str] = Counter()
        for key, key_outcomes in self.outcomes_by_key.items():
            assert runs[key] <= 1, "a key ran twice"
            assert len(self.bodies_by_key[key]) <= 1, "a key has two answers"
            if "not_run" in key_outcomes:
                assert runs[key] == 0, "a call ran, but its outcome was not_run"
                assert "answered" not in key_outcomes
            if "answered" in key_outcomes:
                assert runs[key] == 1
            outcomes[key_outcomes[-1]] += 1
        return outcomes


def test_kills_and_freezes_never_run_a_key_twice(fleet):
    rng = random.Random(7)
    with Callers(fleet) as callers:
        for _ in range(5):
            time.sleep(1.0)
            name = rng.choice(
                [*fleet.list_processes("control"), *fleet.list_processes("entry")]
            )
            if rng.random() < 0.5:
                fleet.send_signal(name, signal.SIGSTOP)
                time.sleep(rng.choice((0.5, 4.0)))
                fleet.send_signal(name, signal.SIGCONT)
            else:
                fleet.kill(name)
                time.sleep(1.0)
                fleet.start(name)
        time.sleep(3.0)
    outcomes = callers.check()
    assert outcomes["answered"] > 20


def test_calls_of_a_killed_entry_process_are_not_reported_as_not_run(fleet):
    with Callers(fleet) as callers:
        time.sleep(1.0)
        fleet.control_standins(slow=10.0)
        time.sleep(1.0)
        fleet.kill("entry-1")
        time.sleep(1.0)
        fleet.start("entry-1")
        fleet.control_standins(slow=1.0)
        time.sleep(3.0)
    callers.check()


def write_variant(tmp_path: Path, number: int) -> Path:
    """Write a configuration whose first deadline depends on ``number``."""
    text = json.loads(Path(EXAMPLE_CONFIGURATION).read_text())
    text["services"][0]["kinds"][0]["deadline_ms"] = 1000 + number
    file = tmp_path / f"text-{number}.txt"
    file.write_text(json.dumps(text))
    return file


def test_concurrent_submissions_get_own_versions_while_the_leader_dies(fleet, tmp_path):
    accepted: dict[int, str] = {}
    lock = threading.Lock()

    def submit_changes(operator: int) -> None:
        for attempt in range(4):
            number = operator * 100 + attempt
            answer = fleet.submit(write_variant(tmp_path, number), id=f"p{number}")
            if answer.get("version"):
                with lock:
                    assert answer["version"] not in accepted
                    accepted[answer["version"]] = f"p{number}"

    threads = [
        threading.Thread(target=submit_changes, args=(number,)) for number in range(3)
    ]
    for thread in threads:
        thread.start()
    time.sleep(1.5)
    leader = fleet.find_leader()
    fleet.kill(leader)
    time.sleep(3.0)
    fleet.start(leader)
    for thread in threads:
        thread.join()
    wait_for(fleet.find_leader)
    status = fleet.get_page(fleet.find_leader(), "/status")
    assert status["accepted_version"] == max(accepted)
    wait_for(lambda: fleet.get_page(fleet.find_leader(), "/status")["in_force"])
    for name in fleet.list_processes("entry"):
        assert fleet.get_page(name, "/status")["text_version"] == max(accepted)


def test_a_voter_without_its_data_is_replaced_before_a_second_vm_dies(fleet, tmp_path):
    first = fleet.submit(write_variant(tmp_path, 1))
    assert first["in_force"]
    leader = fleet.find_leader()
    lost = next(name for name in fleet.list_processes("control") if name != leader)
    fleet.kill(lost)
    shutil.rmtree(fleet.read_settings(lost)["data"])
    fleet.start(lost)

    def replaced() -> bool:
        status = (
            fleet.get_page(fleet.find_leader(), "/status")
            if fleet.find_leader()
            else None
        )
        ids = [node["node"] for node in status["voters"]] if status else []
        return len(ids) == 3 and f"{lost}/founder" not in ids

    wait_for(replaced)
    fleet.kill(leader)
    wait_for(fleet.find_leader)
    status = fleet.get_page(fleet.find_leader(), "/status")
    assert status["accepted_version"] == first["version"]
    assert fleet.submit(write_variant(tmp_path, 2))["in_force"]


def test_members_cut_off_from_control_refuse_the_kinds_that_need_it(fleet):
    for name in fleet.list_processes("control"):
        fleet.send_signal(name, signal.SIGSTOP)
    time.sleep(4.0)
    caller = fleet.create_caller()
    result = caller.call(
        "rack-registry", "issue-tag", "normal", key=create_request_key()
    )
    assert (result.outcome, result.reason) == ("unknown", "cut_off")
    result = caller.call("deposit-ledger", "check-deposit", "urgent")
    assert (result.outcome, result.reason) == ("not_run", "cut_off")
    assert caller.call("rack-registry", "find-rack", "urgent").outcome == "answered"
    for name in fleet.list_processes("control"):
        fleet.send_signal(name, signal.SIGCONT)
    wait_for(fleet.is_ready)


def test_a_leaving_backend_server_gets_no_new_work(fleet):
    endpoint_cfg = fleet.read_settings("standin-rack-registry")["endpoints"][0]
    endpoint = f"{endpoint_cfg['host']}:{endpoint_cfg['port']}"
    stop = threading.Event()

    def call() -> None:
        caller = fleet.create_caller()
        while not stop.is_set():
            caller.call("rack-registry", "find-rack", "urgent")

    threads = [threading.Thread(target=call) for _ in range(8)]
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    fleet.announce_leaving("rack-registry", endpoint_cfg)

    def is_known(name: str) -> bool:
        endpoints = fleet.get_page(name, "/status")["endpoints"]
        states = {item["endpoint"]: item["state"] for item in endpoints}
        return states.get(endpoint, "leaving") == "leaving"

    wait_for(lambda: all(is_known(name) for name in fleet.list_processes("entry")))
    time.sleep(0.2)
    before = fleet.control_standin(endpoint_cfg)["received"]
    time.sleep(2.0)
    after = fleet.control_standin(endpoint_cfg)["received"]
    stop.set()
    for thread in threads:
        thread.join()
    assert after == before
