"""Test the programs with the platform's settings as real processes on loopback."""

from __future__ import annotations

import json
import signal
import socket
import threading
import time

import pytest
from click.testing import CliRunner

from snipecart.cli import operator
from snipecart.platform import names
from tests.platform.fleet import FRONT
from tests.platform.fleet import INNER
from tests.platform.fleet import Backend
from tests.platform.fleet import platform_fleet
from tests.platform.fleet import sending_heartbeats
from tests.platform.fleet import wait_for
from tests.platform.test_decoders import MANIFEST
from tests.platform.test_decoders import ROUTE

NET = "127.61"


def make_manifest(version, *routes):
    """Return a routing table in the platform's format, as JSON."""
    document = {**MANIFEST, "version": f"{version:08x}", "routes": list(routes)}
    return json.dumps(document).encode()


SAFE_ROUTE = ROUTE
UNSAFE_ROUTE = {**ROUTE, "name": "r2", "path_prefix": "/issue/", "route_type": "unsafe"}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Run three control and two entry processes with two backend servers."""
    folder = tmp_path_factory.mktemp("platform")
    with platform_fleet(folder, NET) as fleet:
        fleet.backends = [
            Backend(f"{NET}.3.1", number, "racks", "north-a") for number in (1, 2)
        ]
        assert (
            fleet.control(
                "POST", names.PUT_ROUTING, make_manifest(1, SAFE_ROUTE, UNSAFE_ROUTE)
            )
            == 200
        )
        for backend in fleet.backends:
            assert fleet.report(backend) == 200
        wait_for(lambda: fleet.is_ready("entry-1") and fleet.is_ready("entry-2"))
        with sending_heartbeats(fleet, *fleet.backends):
            yield fleet
        for backend in fleet.backends:
            backend.close()


def test_an_answer_is_forwarded_unchanged_with_its_signature(fleet):
    answer = fleet.request("entry-1", "/issue/a%2Fb?c=1", "POST", body=b"abc")
    assert (answer.status, answer.data) == (200, b"/issue/a%2Fb?c=1|abc")
    assert answer.headers["Server-Signature"].endswith(f".q{fleet.count}")
    assert answer.headers["Request-Id"] == f"q{fleet.count}"


def test_a_chunked_body_arrives_whole(fleet):
    parts = iter([b"one", b"two", b"x" * 3000])
    answer = fleet.request("entry-2", "/issue/x", "POST", body=parts)
    assert answer.data == b"/issue/x|onetwo" + b"x" * 3000


def test_both_gateways_send_an_object_to_the_same_server(fleet):
    signatures = {
        fleet.request(name, headers={"Affinity-Key": "5"})
        .headers["Server-Signature"]
        .partition(".")[0]
        for name in ("entry-1", "entry-2")
        for _ in range(3)
    }
    assert len(signatures) == 1


def test_unknown_routes_and_malformed_requests_are_refused(fleet):
    assert fleet.request("entry-1", "/none/x").status == 404
    assert fleet.request("entry-1", headers={"Deadline-Ms": "soon"}).status == 400
    host = fleet.host("entry-1")
    for garbage in (b"\x00\xff\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n", b"A" * 70_000):
        with socket.create_connection((host, FRONT)) as sock:
            sock.sendall(garbage)
            sock.settimeout(2.0)
            sock.recv(100)
    with socket.create_connection((fleet.host("control-1"), INNER)) as sock:
        sock.sendall(b"\x07\x00\x00\x00garbage" * 50)
    assert fleet.call("POST", "control-1", names.HEARTBEAT + "i-9", b"{").status == 400
    assert fleet.request("entry-1").status == 200


def test_a_body_over_the_limit_is_refused(fleet):
    limited = {**MANIFEST["limits"], "max_body_bytes": 5000}
    document = json.loads(make_manifest(2, SAFE_ROUTE, UNSAFE_ROUTE)) | {
        "limits": limited
    }
    body = json.dumps(document).encode()
    assert fleet.control("POST", names.PUT_ROUTING, body) == 200
    wait_for(
        lambda: (
            fleet.request("entry-1", "/issue/x", "POST", body=b"y" * 6000).status == 413
        )
    )


def test_a_truncated_body_is_never_forwarded(fleet):
    before = sum(len(backend.received) for backend in fleet.backends)
    head = (
        "POST /issue/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: cut\r\n"
        "Content-Length: 100\r\n\r\nhalf"
    )
    with socket.create_connection((fleet.host("entry-1"), FRONT)) as sock:
        sock.sendall(head.encode())
        sock.shutdown(socket.SHUT_WR)
        sock.settimeout(5.0)
        sock.recv(1000)
    assert sum(len(backend.received) for backend in fleet.backends) == before


def test_the_newest_table_is_read_back_and_older_ones_change_nothing(fleet):
    newest = make_manifest(9, SAFE_ROUTE, UNSAFE_ROUTE)
    assert fleet.control("POST", names.PUT_ROUTING, newest) == 200
    assert fleet.control("POST", names.PUT_ROUTING, make_manifest(8, SAFE_ROUTE)) == 200
    assert fleet.control("POST", names.PUT_ROUTING, make_manifest(9, SAFE_ROUTE)) == 409
    assert fleet.control("POST", names.PUT_ROUTING, newest[:-2]) == 400
    for name in ("control-1", "control-2", "control-3"):
        assert fleet.call("GET", name, names.GET_ROUTING).data == newest


def test_a_client_that_leaves_frees_its_worker(fleet):
    for backend in fleet.backends:
        backend.seconds = 1.0
    head = "GET /look/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: gone\r\n\r\n"
    sock = socket.create_connection((fleet.host("entry-1"), FRONT))
    sock.sendall(head.encode())
    time.sleep(0.2)
    sock.close()
    wait_for(
        lambda: any(
            line.get("request") == "gone" and line["event"] == 3402
            for line in fleet.log("entry-1")
        ),
        2.0,
    )
    for backend in fleet.backends:
        backend.seconds = 0.0


def test_an_evacuated_zone_gets_no_requests_until_the_evacuation_ends(fleet):
    assert fleet.control("POST", names.START_EVACUATION + "north-a") == 200
    wait_for(lambda: fleet.request("entry-1").status == 503, 3.0)
    assert fleet.request("entry-1").headers["Retry-After"]
    assert fleet.control("POST", names.STOP_EVACUATION + "north-a") == 200
    wait_for(lambda: fleet.request("entry-1").status == 200, 3.0)


def test_look_ups_return_the_gateways_of_the_clients_region(fleet):
    url = f"{names.RESOLVE}?name=shop.example&region=south&zone=south-a"
    answer = fleet.call("GET", "control-2", url).json()
    assert answer["addresses"] == [f"{fleet.host('entry-1')}:{FRONT}"]


def test_a_leaving_server_gets_no_requests_after_the_acknowledgement(fleet):
    third = Backend(f"{NET}.3.1", 3, "racks", "north-a")
    assert fleet.report(third) == 200
    keys = [str(number) for number in range(30)]

    def send_all():
        for key in keys:
            fleet.request("entry-2", headers={"Affinity-Key": key})

    wait_for(lambda: send_all() or third.received, 10.0)
    assert fleet.report(third, names.DRAINING) == 200
    acknowledged = time.monotonic()
    send_all()
    assert all(at < acknowledged + 0.2 for at, _ in third.received)
    assert fleet.control("POST", names.DEREGISTER + third.name) == 200
    third.close()


def test_requests_are_served_while_the_leader_is_gone_and_a_new_one_takes_over(fleet):
    leaders = [
        name
        for name in ("control-1", "control-2", "control-3")
        if any(line["event"] == 2001 for line in fleet.log(name))
    ]
    fleet.kill(leaders[-1])
    for _ in range(20):
        assert fleet.request("entry-1").status == 200
    assert (
        fleet.control(
            "POST", names.PUT_ROUTING, make_manifest(20, SAFE_ROUTE, UNSAFE_ROUTE)
        )
        == 200
    )
    fleet.start(leaders[-1], bootstrap=False)
    wait_for(
        lambda: (
            (answer := fleet.call("GET", leaders[-1], names.GET_ROUTING)) is not None
            and answer.status == 200
            and answer.json()["version"] == "00000014"
        )
    )


def test_a_control_process_at_a_new_address_replaces_a_lost_one(fleet):
    fleet.start("control-4", bootstrap=False)
    wait_for(lambda: any(line["event"] == 2301 for line in fleet.log("control-4")))
    answer = fleet.call("GET", "control-4", names.GET_ROUTING)
    assert answer.status == 200


def test_sighup_reloads_the_settings_of_a_running_process(fleet):
    for name in ("control-2", "entry-1"):
        path = fleet.folder / f"{name}.toml"
        seeds = path.read_text().replace(f"{NET}.1.3:", f"{NET}.1.4:")
        path.write_text(seeds)
        fleet.processes[name].send_signal(signal.SIGHUP)
        wait_for(
            lambda name=name: any(line["event"] == 1008 for line in fleet.log(name)),
            5.0,
        )
        assert fleet.processes[name].poll() is None
    assert fleet.request("entry-1").status == 200


def test_a_planned_stop_completes_open_requests(fleet):
    for backend in fleet.backends:
        backend.seconds = 0.8
    answers = []
    threads = [
        threading.Thread(target=lambda: answers.append(fleet.request("entry-2").status))
        for _ in range(6)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.2)
    fleet.processes["entry-2"].send_signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    assert answers == [200] * 6
    assert not fleet.is_ready("entry-2")
    time.sleep(1.5)
    late = fleet.request("entry-2")
    assert (late.status, late.headers["Connection"]) == (503, "close")
    assert fleet.processes.pop("entry-2").wait(10) == 0
    for backend in fleet.backends:
        backend.seconds = 0.0


def test_operators_commands_show_the_state_of_each_process(fleet):
    addresses = [f"{fleet.host(name)}:{INNER + 2}" for name in ("entry-1", "control-1")]
    fleet_output = CliRunner().invoke(operator.main, ["fleet", *addresses])
    assert fleet_output.exit_code == 0
    assert "entry, ready, routing" in fleet_output.output
    assert "control, " in fleet_output.output
    assert "racks: 2 serving" in fleet_output.output
    words = ["where", addresses[0], "shop.example", "/look/x", "--object", "7"]
    where_output = CliRunner().invoke(operator.main, words)
    assert where_output.exit_code == 0, where_output
    answer_text = where_output.output
    server = fleet.request("entry-1").headers["Server-Signature"].partition(".")[0]
    assert answer_text.splitlines()[0].endswith(server)


def replace_text(path, text):
    """Replace a file in one step, so that no reader finds it empty."""
    fresh = path.with_suffix(".fresh")
    fresh.write_text(text)
    fresh.replace(path)


def test_a_settings_file_that_changes_without_a_signal_is_reloaded(fleet):
    path = fleet.folder / "entry-1.toml"
    original = path.read_text()
    replace_text(path, original.replace("budget_slack=58", "budget_slack=77"))

    def changes():
        lines = [line for line in fleet.log("entry-1") if line["event"] == 1012]
        return [line for line in lines if line["setting"] == "retries"]

    wait_for(lambda: changes(), 5.0)
    line = changes()[0]
    assert line["in_force"]
    assert "58" in line["old"] and "77" in line["new"]
    replace_text(path, original + "\nport = [broken")
    wait_for(lambda: any(line["event"] == 1010 for line in fleet.log("entry-1")), 5.0)
    replace_text(path, original)
    wait_for(lambda: len(changes()) == 2, 5.0)
    wait_for(
        lambda: (
            [line["taken"] for line in fleet.log("entry-1") if line["event"] == 1008][
                -3:
            ]
            == [True, False, True]
        )
    )
    assert fleet.request("entry-1").status == 200


def _status(answer):
    """Return the status of an answer; 0 without one."""
    return answer.status if answer is not None else 0


def test_a_zone_added_to_the_settings_is_known_without_a_restart(fleet):
    controls = [name for name in fleet.processes if "control" in name]
    originals = {name: (fleet.folder / f"{name}.toml").read_text() for name in controls}
    for name, text in originals.items():
        changed = text.replace("[zones]", '[zones]\neast-a = "east"')
        replace_text(fleet.folder / f"{name}.toml", changed)
    start, stop = f"{names.START_EVACUATION}east-a", f"{names.STOP_EVACUATION}east-a"
    for name in controls:
        # Each process reads its own settings file, at its own times.
        wait_for(
            lambda name=name: _status(fleet.call("POST", name, start)) in (200, 307),
            5.0,
        )
    assert fleet.control("POST", stop) == 200
    for name, text in originals.items():
        replace_text(fleet.folder / f"{name}.toml", text)
