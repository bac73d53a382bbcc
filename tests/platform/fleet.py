"""Run the programs on loopback with the platform's settings and fake its backends."""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
import threading
import time
from contextlib import ExitStack
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from itertools import count
from typing import TYPE_CHECKING
from typing import Any

import urllib3
from bench.fleet import wait_for
from urllib3.exceptions import HTTPError

from snipecart.platform import names

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

INNER, CONTROL, DIRECTORY, FRONT, READY = 7720, 8166, 8164, 8161, 8167
ZONES = {"north-a": "north", "south-a": "south"}

BOUNDS = ("grace=4s", "retry_budget_ratio=0.2", "budget_window=10s", "budget_slack=58")

SETTINGS = """
node_name = "{name}"
ip = "{host}"
zone = "{zone}"
region = "{region}"
internal_port_range = [{inner},{last}]
seed_nodes = [{seeds}]
bootstrap = {bootstrap}
data_dir = "{data}"
heartbeat_interval = "500ms"
bounds = [{bounds}]
[zones]
{zones}
[listen_addrs]
control = "{host}:{control}"
directory = "{host}:{directory}"
front = "{host}:{front}"
readiness = "{host}:{ready}"
"""


class Backend:
    """Fake one instance of a backend server and record the requests it receives."""

    def __init__(self, host: str, number: int, service: str, zone: str) -> None:
        self.address = f"{host}:{9000 + number}"
        self.name, self.service, self.zone = f"i-{number}", service, zone
        self.born, self.sequence = int(time.time() * 1000), 0
        self.received: list[tuple[float, str]] = []
        self.headers: list[dict[str, str]] = []
        """Headers of the received requests."""
        self.ended: list[str] = []
        self.seconds = 0.0
        self.drops_connection = False
        self.server = ThreadingHTTPServer((host, 9000 + number), self._handler())
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def report(self, state: str = "ready") -> bytes:
        """Return the body of its next heartbeat."""
        self.sequence += 1
        info = {"backend": self.service, "zone": self.zone, "slots": 9, "version": "v"}
        status = {"state": state, "sequence": self.sequence, "cold_remaining": "0ms"}
        fields = {"address": self.address, "born": self.born}
        return json.dumps({**fields, "info": info, "status": status}).encode()

    def close(self) -> None:
        """Stop the server."""
        self.server.shutdown()
        self.server.server_close()

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        backend = self

        class Handler(BaseHTTPRequestHandler):
            """Answer requests that name this instance; reject others with 421."""

            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                """Record a request, sleep for the configured time, and answer."""
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                if self.headers["Expect-Instance"] != backend.name:
                    self._answer(421, b"", ("Not-Executed", "1"))
                    return
                request = self.headers["Request-Id"]
                backend.received.append((time.monotonic(), request))
                backend.headers.append(dict(self.headers.items()))
                time.sleep(backend.seconds)
                if backend.drops_connection:
                    self.close_connection = True
                    return
                self._answer(200, self.path.encode() + b"|" + body)
                backend.ended.append(request)

            do_POST = do_GET

            def _answer(self, status: int, body: bytes, *more: tuple[str, str]) -> None:
                self.send_response(status)
                request = self.headers["Request-Id"]
                for name, value in (
                    ("Content-Length", str(len(body))),
                    ("Request-Id", request),
                    ("Server-Signature", f"{backend.name}.{request}"),
                    *more,
                ):
                    self.send_header(name, value)
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *args: Any) -> None:
                """Suppress the request log."""

        return Handler


class PlatformFleet:
    """Run control and entry processes on one loopback network."""

    def __init__(self, folder: Path, net: str, bounds: tuple[str, ...] = ()) -> None:
        self.folder, self.net = folder, net
        self.processes: dict[str, subprocess.Popen] = {}
        self.bounds: tuple[str, ...] = bounds
        """Entries of ``bounds`` beside those that all settings have."""
        self.seeds = ["control-1", "control-2", "control-3"]
        """Control processes that the settings of the next started process name."""
        self._control_numbers = count(1)
        follow = urllib3.Retry(
            2, connect=0, read=0, status=0, other=0, respect_retry_after_header=False
        )
        self.pool = urllib3.PoolManager(retries=follow, timeout=3.0, maxsize=8)
        self.count = 0

    def host(self, name: str) -> str:
        """Return the address of a VM."""
        kind, _, number = name.partition("-")
        return f"{self.net}.{1 if kind == 'control' else 2}.{number}"

    def start(self, name: str, *, bootstrap: bool = True) -> None:
        """Start a program with a settings file as the platform writes it."""
        kind, _, number = name.partition("-")
        zone = list(ZONES)[int(number) % 2]
        seeds = ",".join(f'"{self.host(seed)}:{CONTROL}"' for seed in self.seeds)
        path = self.folder / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                host=self.host(name),
                zone=zone,
                region=ZONES[zone],
                inner=INNER,
                last=INNER + 15,
                seeds=seeds,
                bootstrap=str(bootstrap).lower(),
                bounds=",".join(f'"{bound}"' for bound in (*BOUNDS, *self.bounds)),
                data=self.folder / "data" / name,
                zones="\n".join(f'{key} = "{value}"' for key, value in ZONES.items()),
                control=CONTROL,
                directory=DIRECTORY,
                front=FRONT,
                ready=READY,
            )
        )
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "snipecart.platform", kind],
                env={**os.environ, names.SETTINGS_VARIABLE: str(path)},
                stdout=log,
                stderr=log,
            )

    def add_control(self, replaced: str = "", *, bootstrap: bool = False) -> str:
        """Start a control process at a new address and return its name.

        It takes the place of ``replaced`` among the seeds.
        """
        name = f"control-{next(self._control_numbers)}"
        self.seeds = [name if seed == replaced else seed for seed in self.seeds]
        self.start(name, bootstrap=bootstrap)
        return name

    def lose_data(self, name: str) -> None:
        """Delete the data folder of a process that doesn't run, if it has one."""
        shutil.rmtree(self.folder / "data" / name, ignore_errors=True)

    def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        """Send a signal to a process and wait for its exit."""
        self.processes[name].send_signal(number)
        self.processes.pop(name).wait(20)

    def log(self, name: str) -> list[dict[str, Any]]:
        """Return the JSON lines of a process's log."""
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def call(self, method: str, name: str, path: str, body: bytes = b"") -> Any:
        """Call a control process; return its answer, or None if the call failed."""
        url = f"http://{self.host(name)}:{CONTROL}{path}"
        try:
            return self.pool.request(method, url, body=body, redirect=True)
        except HTTPError:
            return None

    def control(self, method: str, path: str, body: bytes = b"") -> int:
        """Call control processes until one answers with a 2xx or 4xx status.

        Return that status, or 0 after 60 rounds.
        """
        for _ in range(60):
            for name in [item for item in self.processes if "control" in item]:
                answer = self.call(method, name, path, body)
                if answer is not None and answer.status // 100 in (2, 4):
                    return answer.status
            time.sleep(0.2)
        return 0

    def report(self, backend: Backend, state: str = "ready") -> int:
        """Send the heartbeat of a backend server until it is acknowledged."""
        path = names.HEARTBEAT + backend.name
        return self.control("POST", path, backend.report(state))

    def is_ready(self, name: str) -> bool:
        """Return whether the readiness check of a gateway succeeds."""
        url = f"http://{self.host(name)}:{READY}{names.READY}"
        try:
            return self.pool.request("GET", url).status == 200
        except HTTPError:
            return False

    def request(
        self, name: str, path: str = "/look/x", method: str = "GET", **more: Any
    ) -> Any:
        """Send a client's request to a gateway."""
        self.count += 1
        headers = {
            "Host": "shop.example",
            "Request-Id": f"q{self.count}",
            "Affinity-Key": "7",
            "Deadline-Ms": "3000",
            **more.pop("headers", {}),
        }
        url = f"http://{self.host(name)}:{FRONT}{path}"
        return self.pool.request(method, url, headers=headers, **more)


@contextmanager
def platform_fleet(
    folder: Path,
    net: str,
    controls: int = 3,
    entries: int = 2,
    bounds: tuple[str, ...] = (),
) -> Iterator[PlatformFleet]:
    """Run control and entry processes until the block ends, then kill them."""
    fleet = PlatformFleet(folder, net, bounds)
    with ExitStack() as stack:
        stack.callback(_end_all, fleet)
        for _ in range(controls):
            fleet.add_control(bootstrap=True)
        for at in range(1, entries + 1):
            fleet.start(f"entry-{at}")
        yield fleet


@contextmanager
def sending_heartbeats(
    fleet: PlatformFleet, *backends: Backend, interval: float = 0.5
) -> Iterator[None]:
    """Report backend servers at an interval in seconds until the block ends."""
    stop = threading.Event()

    def send() -> None:
        while not stop.wait(interval):
            for backend in backends:
                fleet.report(backend)

    reporter = threading.Thread(target=send)
    reporter.start()
    try:
        yield
    finally:
        stop.set()
        reporter.join()


def _end_all(fleet: PlatformFleet) -> None:
    for process in fleet.processes.values():
        process.kill()
        process.wait(20)


__all__ = [
    "Backend",
    "PlatformFleet",
    "platform_fleet",
    "sending_heartbeats",
    "wait_for",
]
