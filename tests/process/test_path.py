"""Test the path of a call over real processes."""

from __future__ import annotations

import json
import signal
import threading
import time
from pathlib import Path

import pytest
from bench.fleet import TEXT
from bench.fleet import running_fleet
from bench.fleet import wait_for

from snipecart.bench.caller import new_key


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Run a fleet for the module."""
    folder = tmp_path_factory.mktemp("fleet")
    with running_fleet(
        folder, "127.31", part=4, drain_s=2, cache_s=1, service_ms=50
    ) as fleet:
        yield fleet


def test_every_kind_is_answered(fleet):
    caller = fleet.caller()
    for stream in fleet.plan["streams"]:
        key = new_key() if stream["keyed"] else ""
        ended = caller.call(stream["service"], stream["kind"], stream["rank"], key=key)
        assert (ended.status, ended.outcome) == (200, "answered")


def test_a_resend_gets_the_recorded_answer_and_runs_once(fleet):
    key = new_key()
    answers = set()
    for _ in range(4):
        ended = fleet.caller().call(
            "rack-registry", "issue-tag", "normal", body=b"one", key=key
        )
        answers.add(ended.body)
    assert len(answers) == 1
    runs = sum(seen["keys"].count(key) for seen in fleet.standins())
    assert runs == 1
    assert not any(seen["repeated"] for seen in fleet.standins())


def test_refusals_are_typed(fleet):
    def reason(service, kind, rank="normal", **more):
        return fleet.caller().call(service, kind, rank, **more).reason

    assert reason("none", "x") == "unknown_service"
    assert reason("rack-registry", "x") == "unknown_kind"
    assert reason("rack-registry", "find-rack") == "wrong_listener"
    assert reason("rack-registry", "issue-tag") == "missing_key"
    assert reason("rack-registry", "issue-tag", key="abc") == "key_malformed"
    assert reason("rack-registry", "issue-tag", key="5-abc") == "key_expired"
    assert reason("rack-registry", "issue-tag", body=b"x" * 2_000_000) == (
        "body_too_large"
    )
    key = new_key()
    assert reason("rack-registry", "issue-tag", key=key) == ""
    assert reason("rack-registry", "issue-tag", key=key, body=b"2") == "key_reused"


def test_concurrent_sends_of_one_key_run_once(fleet):
    key = new_key()
    ends = []

    def send():
        ended = fleet.caller().call(
            "deposit-ledger", "charge-deposit", "normal", key=key
        )
        ends.append(ended.outcome)

    threads = [threading.Thread(target=send) for _ in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sum(seen["keys"].count(key) for seen in fleet.standins()) == 1
    assert not any(seen["repeated"] for seen in fleet.standins())
    assert set(ends) <= {"answered", "unknown"} and "answered" in ends


def test_lookup_names_zones_apart(fleet):
    entries = fleet.caller().lookup()
    assert len({entry["zone"] for entry in entries}) == len(entries) == 3


def test_two_operators_with_one_base(fleet, tmp_path):
    text = json.loads(Path(TEXT).read_text())
    text["services"][0]["kinds"][0]["deadline_ms"] = 900
    file = tmp_path / "text.json"
    file.write_text(json.dumps(text))
    base = fleet.get(fleet.leader(), "/status")["accepted_version"]
    first = fleet.submit(file, base=base, id="one")
    assert first["in_force"]
    assert fleet.submit(file, base=base, id="two")["reason"] == "version_conflict"
    again = fleet.submit(file, base=base, id="one")
    assert again["version"] == first["version"]
    file.write_text(json.dumps(text) + " ")
    assert fleet.submit(file, base=base, id="one")["reason"] == "submission_reused"


def test_a_short_answer_is_not_passed_on(fleet):
    fleet.standins(cut=True)
    try:
        ended = fleet.caller().call(
            "rack-registry", "issue-tag", "normal", key=new_key()
        )
        assert ended.outcome == "unknown"
    finally:
        fleet.standins(cut=False)


def test_a_stopping_entry_cuts_nothing_off(fleet):
    ends = []
    stop = threading.Event()

    def call():
        caller = fleet.caller()
        while not stop.is_set():
            ended = caller.call("rack-registry", "list-racks", "deferrable")
            ends.append((ended.outcome, ended.reason))

    threads = [threading.Thread(target=call) for _ in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    fleet.signal("entry-2", signal.SIGTERM)
    assert fleet.processes["entry-2"].wait(30) == 0
    stop.set()
    for thread in threads:
        thread.join()
    assert [end for end in ends if end != ("answered", "")] == []
    fleet.start("entry-2")
    wait_for(fleet.is_ready)


def test_control_and_standins_stop_in_time(fleet):
    for name in ("control-3", "standin-deposit-ledger"):
        fleet.signal(name, signal.SIGTERM)
        assert fleet.processes[name].wait(30) == 0
