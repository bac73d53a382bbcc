"""Test calls, look-ups and submissions with real processes."""

from __future__ import annotations

import json
import signal
import threading
import time
from pathlib import Path

import pytest
from bench.fleet import EXAMPLE_CONFIGURATION
from bench.fleet import running_fleet
from bench.fleet import wait_for

from snipecart.bench.caller import create_request_key


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Run one fleet for all tests of the module."""
    folder = tmp_path_factory.mktemp("fleet")
    with running_fleet(
        folder, "127.31", part=4, drain_s=2, cache_s=1, service_ms=50
    ) as fleet:
        yield fleet


def test_every_kind_is_answered(fleet):
    caller = fleet.create_caller()
    for stream in fleet.plan["streams"]:
        key = create_request_key() if stream["keyed"] else ""
        result = caller.call(stream["service"], stream["kind"], stream["rank"], key=key)
        assert (result.status, result.outcome) == (200, "answered")


def test_a_resend_gets_the_recorded_answer_and_runs_once(fleet):
    key = create_request_key()
    answers = set()
    for _ in range(4):
        result = fleet.create_caller().call(
            "rack-registry", "issue-tag", "normal", body=b"one", key=key
        )
        answers.add(result.body)
    assert len(answers) == 1
    runs = sum(counts["keys"].count(key) for counts in fleet.control_standins())
    assert runs == 1
    assert not any(counts["repeated"] for counts in fleet.control_standins())


def test_refused_calls_state_a_reason(fleet):
    def reason(service, kind, rank="normal", **more):
        return fleet.create_caller().call(service, kind, rank, **more).reason

    assert reason("none", "x") == "unknown_service"
    assert reason("rack-registry", "x") == "unknown_kind"
    assert reason("rack-registry", "find-rack") == "wrong_listener"
    assert reason("rack-registry", "issue-tag") == "missing_key"
    assert reason("rack-registry", "issue-tag", key="abc") == "key_malformed"
    assert reason("rack-registry", "issue-tag", key="5-abc") == "key_expired"
    assert reason("rack-registry", "issue-tag", body=b"x" * 2_000_000) == (
        "body_too_large"
    )
    key = create_request_key()
    assert reason("rack-registry", "issue-tag", key=key) == ""
    assert reason("rack-registry", "issue-tag", key=key, body=b"2") == "key_reused"


def test_concurrent_sends_of_one_key_run_once(fleet):
    key = create_request_key()
    results = []

    def send():
        result = fleet.create_caller().call(
            "deposit-ledger", "charge-deposit", "normal", key=key
        )
        results.append(result.outcome)

    threads = [threading.Thread(target=send) for _ in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sum(counts["keys"].count(key) for counts in fleet.control_standins()) == 1
    assert not any(counts["repeated"] for counts in fleet.control_standins())
    assert set(results) <= {"answered", "unknown"} and "answered" in results


def test_a_lookup_returns_entry_processes_of_different_zones(fleet):
    entries = fleet.create_caller().lookup()
    assert len({entry["zone"] for entry in entries}) == len(entries) == 3


def test_only_one_submission_per_base_is_accepted(fleet, tmp_path):
    text = json.loads(Path(EXAMPLE_CONFIGURATION).read_text())
    text["services"][0]["kinds"][0]["deadline_ms"] = 900
    file = tmp_path / "text.json"
    file.write_text(json.dumps(text))
    base = fleet.get_page(fleet.find_leader(), "/status")["accepted_version"]
    first = fleet.submit(file, base=base, id="one")
    assert first["in_force"]
    assert fleet.submit(file, base=base, id="two")["reason"] == "version_conflict"
    again = fleet.submit(file, base=base, id="one")
    assert again["version"] == first["version"]
    file.write_text(json.dumps(text) + " ")
    assert fleet.submit(file, base=base, id="one")["reason"] == "submission_reused"


def test_a_truncated_answer_is_not_forwarded(fleet):
    fleet.control_standins(cut=True)
    try:
        result = fleet.create_caller().call(
            "rack-registry", "issue-tag", "normal", key=create_request_key()
        )
        assert result.outcome == "unknown"
    finally:
        fleet.control_standins(cut=False)


def test_a_stopping_entry_process_completes_its_calls(fleet):
    results = []
    stop = threading.Event()

    def call():
        caller = fleet.create_caller()
        while not stop.is_set():
            result = caller.call("rack-registry", "list-racks", "deferrable")
            results.append((result.outcome, result.reason))

    threads = [threading.Thread(target=call) for _ in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    fleet.send_signal("entry-2", signal.SIGTERM)
    assert fleet.processes["entry-2"].wait(30) == 0
    stop.set()
    for thread in threads:
        thread.join()
    assert [result for result in results if result != ("answered", "")] == []
    fleet.start("entry-2")
    wait_for(fleet.is_ready)


def test_control_and_standins_stop_within_their_time_limit(fleet):
    for name in ("control-3", "standin-deposit-ledger"):
        fleet.send_signal(name, signal.SIGTERM)
        assert fleet.processes[name].wait(30) == 0
