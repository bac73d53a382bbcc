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
EXAMPLE_CONFIGURATION = "examples/carrozzina-sicura.json"


def wait_for(condition: Any, timeout: float = DEFAULT_TIMEOUT) -> float:
    """Block until something is true, and return how long it took."""
    start = time.monotonic()
    while not condition():
        assert time.monotonic() < start + timeout, "waited too long"
        time.sleep(0.05)
    return time.monotonic() - start


class Fleet:
    """Own the processes of a fleet."""

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
        """Return a process's settings."""
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
        """Found a control process's log."""
        command = [BIN / "snipecart-control", "init", "--settings"]
        subprocess.run([*command, self.folder / f"{name}.json"], check=True)

    def start_all(self) -> None:
        """Start everything, submit the text and wait until all kinds are served."""
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
        """List the processes of a kind."""
        return [name for name in self.names if name.startswith(kind)]

    def is_ready(self) -> bool:
        """Say whether every entry process serves every kind."""
        for name in self.list_processes("entry"):
            for stream in self.plan["streams"]:
                query = f"service={stream['service']}&kind={stream['kind']}"
                answer = self.get_page(name, f"/explain?{query}")
                if answer is None or answer["refusal"]:
                    return False
        return True

    def get_page(self, name: str, path: str) -> Any:
        """Get a page of a process, None where it does not answer."""
        cfg = self.read_settings(name)
        url = f"http://{cfg['host']}:{cfg['http_port']}{path}"
        try:
            return urllib3.request("GET", url, retries=False, timeout=3.0).json()
        except (HTTPError, ValueError):
            return None

    def submit(self, text: Any, **options: Any) -> dict[str, Any]:
        """Submit a text by the operators' command."""
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
        """Return the control processes' addresses."""
        peers = self.read_settings("control-1")["peers"]
        return " ".join(f"{peer['host']}:{peer['http_port']}" for peer in peers)

    def find_leader(self) -> str:
        """Return the leading control process."""
        for name in self.list_processes("control"):
            process = self.processes.get(name)
            if process is None or process.poll() is not None:
                continue
            status = self.get_page(name, "/status")
            if status and status["confirmed"]:
                return name
        return ""

    def create_caller(self) -> Caller:
        """Return a caller."""
        return Caller(tuple(self.plan["entries"]))

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Signal a process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self.processes[name].kill()
        self.processes[name].wait()

    def control_standin(
        self, endpoint: dict[str, Any], **behaviour: Any
    ) -> dict[str, Any]:
        """Set how one stand-in behaves, and return what it saw."""
        url = f"http://{endpoint['host']}:{endpoint['port']}/standin"
        body = json.dumps(behaviour)
        return urllib3.request("POST", url, body=body, retries=False).json()

    def announce_leaving(self, service: str, endpoint: dict[str, Any]) -> None:
        """Have one stand-in leave, and announce it to one entry process."""
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
        """Set how all stand-ins behave, and return what they saw."""
        counts = []
        for name in self.list_processes("standin"):
            for endpoint in self.read_settings(name)["endpoints"]:
                counts.append(self.control_standin(endpoint, **behaviour))
        return counts

    def stop(self) -> None:
        """Stop all processes, by force where they do not stop."""
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
    """Own a running fleet."""
    fleet = Fleet(folder, net, **options)
    try:
        fleet.start_all()
        yield fleet
    finally:
        fleet.stop()
