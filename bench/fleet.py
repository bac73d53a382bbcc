"""Run a small fleet of real processes on loopback addresses."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError

from snipecart.bench.caller import Caller

if TYPE_CHECKING:
    from collections.abc import Iterator

BIN = Path(sys.executable).parent

DEFAULT_TIMEOUT = 60.0
"""Seconds to wait for a condition."""

EXAMPLE_CONFIGURATION = "examples/carrozzina-sicura.json"


def wait_for(condition: Any, timeout: float = DEFAULT_TIMEOUT) -> float:
    """Block until a condition is true, and return the seconds that this took.

    Raise AssertionError after ``timeout`` seconds.
    """
    start = time.monotonic()
    while not condition():
        assert time.monotonic() < start + timeout, (
            "the condition did not become true within the timeout"
        )
        time.sleep(0.05)
    return time.monotonic() - start


class Fleet:
    """Run control, entry and stand-in processes on one loopback network."""

    def __init__(
        self, folder: Path, net: str, text: str = EXAMPLE_CONFIGURATION, **options: Any
    ) -> None:
        self.folder, self.net, self.text = folder, net, text
        self.processes: dict[str, subprocess.Popen] = {}
        arguments = [
            f"--{name.replace('_', '-')}={value}" for name, value in options.items()
        ]
        subprocess.run(
            [
                sys.executable,
                "tools/fleet.py",
                f"--folder={folder}",
                f"--text={text}",
                f"--net={net}",
                *arguments,
            ],
            check=True,
        )
        self.names = sorted(path.stem for path in folder.glob("*.json"))
        self.plan = json.loads((folder / "plan.json").read_text())

    def read_settings(self, name: str) -> dict[str, Any]:
        """Return the settings of a process."""
        return json.loads((self.folder / f"{name}.json").read_text())

    def start(self, name: str) -> None:
        """Start a process."""
        program = f"snipecart-{name.partition('-')[0]}"
        log = (self.folder / f"{name}.log").open("ab")
        command = [
            str(BIN / program),
            "run",
            "--settings",
            f"{self.folder}/{name}.json",
        ]
        self.processes[name] = subprocess.Popen(command, stderr=log)

    def init_log(self, name: str) -> None:
        """Initialize the replicated log of a control process."""
        command = [BIN / "snipecart-control", "init", "--settings"]
        subprocess.run([*command, self.folder / f"{name}.json"], check=True)

    def start_all(self) -> None:
        """Start all processes and submit the configuration.

        Block until all entry processes serve all kinds of calls.
        """
        for name in self.list_processes("control"):
            self.init_log(name)
        for name in (
            *self.list_processes("control"),
            *self.list_processes("entry"),
            *self.list_processes("standin"),
        ):
            self.start(name)
        wait_for(self.find_leader)
        assert self.submit(self.text)["in_force"]
        wait_for(self.is_ready)

    def list_processes(self, kind: str) -> list[str]:
        """Return the names of the processes of a kind, such as ``entry``."""
        return [name for name in self.names if name.startswith(kind)]

    def is_ready(self) -> bool:
        """Return whether every entry process serves every kind of call."""
        for name in self.list_processes("entry"):
            for stream in self.plan["streams"]:
                query = f"service={stream['service']}&kind={stream['kind']}"
                answer = self.get_page(name, f"/explain?{query}")
                if answer is None or answer["refusal"]:
                    return False
        return True

    def get_page(self, name: str, path: str) -> Any:
        """Return the JSON page of a process, or None if the request failed."""
        cfg = self.read_settings(name)
        url = f"http://{cfg['host']}:{cfg['http_port']}{path}"
        try:
            return urllib3.request("GET", url, retries=False, timeout=3.0).json()
        except (HTTPError, ValueError):
            return None

    def submit(self, text: Any, **options: Any) -> dict[str, Any]:
        """Submit a configuration with the operators' command, and return its answer."""
        arguments = [f"--{name}={value}" for name, value in options.items()]
        command = [BIN / "snipecart", "submit", "--json", "--yes", *arguments, text]
        completed = subprocess.run(
            command,
            env={**os.environ, "SNIPECART_CONTROL": self.control_addresses()},
            capture_output=True,
            check=False,
        )
        return {**json.loads(completed.stdout), "exit": completed.returncode}

    def control_addresses(self) -> str:
        """Return the HTTP addresses of the control processes, separated by spaces."""
        peers = self.read_settings("control-1")["peers"]
        return " ".join(f"{peer['host']}:{peer['http_port']}" for peer in peers)

    def find_leader(self) -> str:
        """Return the name of the leading control process; empty if there is none."""
        for name in self.list_processes("control"):
            process = self.processes.get(name)
            if process is None or process.poll() is not None:
                continue
            status = self.get_page(name, "/status")
            if status and status["confirmed"]:
                return name
        return ""

    def create_caller(self) -> Caller:
        """Return a caller with a look-up cache of its own."""
        return Caller(tuple(self.plan["entries"]))

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its exit."""
        self.processes[name].kill()
        self.processes[name].wait()

    def control_standin(
        self, endpoint: dict[str, Any], **behaviour: Any
    ) -> dict[str, Any]:
        """Set the behaviour of a stand-in server, and return its counts."""
        url = f"http://{endpoint['host']}:{endpoint['port']}/standin"
        body = json.dumps(behaviour)
        return urllib3.request("POST", url, body=body, retries=False).json()

    def announce_leaving(self, service: str, endpoint: dict[str, Any]) -> None:
        """Set a stand-in server to leaving, and announce that to one entry process."""
        self.control_standin(endpoint, state="leaving")
        body = {
            "endpoint": f"{endpoint['host']}:{endpoint['port']}",
            "service": service,
            "region": endpoint["region"],
            "zone": endpoint["zone"],
            "slots": self.read_settings(f"standin-{service}")["slots"],
            "state": "leaving",
        }
        entry = self.plan["entries"][0]
        urllib3.request("POST", f"http://{entry}/announce", json=body, retries=False)

    def control_standins(self, **behaviour: Any) -> list[dict[str, Any]]:
        """Set the behaviour of all stand-in servers, and return their counts."""
        counts = []
        for name in self.list_processes("standin"):
            for endpoint in self.read_settings(name)["endpoints"]:
                counts.append(self.control_standin(endpoint, **behaviour))
        return counts

    def stop(self) -> None:
        """Stop all processes; kill those still running 20 s after SIGTERM."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(20)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


@contextmanager
def running_fleet(folder: Path, net: str, **options: Any) -> Iterator[Fleet]:
    """Run a fleet until the block ends."""
    fleet = Fleet(folder, net, **options)
    try:
        fleet.start_all()
        yield fleet
    finally:
        fleet.stop()
