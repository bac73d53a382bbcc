"""Send changes of the configuration as operators do, and read them back."""

from __future__ import annotations

import json
import threading
import time
from typing import TYPE_CHECKING
from typing import Any

from snipecart.platform import names

from .history import Change
from .history import ProcessName
from .history import ReadBack
from .history import Seconds
from .history import Version
from .servers import COLD_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from tests.platform.fleet import PlatformFleet

    from .history import RecorderTask

SERVICES = ("racks", "bins")
TIMEOUTS = (0.8, 1.2, 1.6)
"""Timeouts of all routes in seconds, of which each change takes one."""

PAUSE_SECONDS = 1.5
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 1_000_000,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
}


def make_manifest(version: int, service: str, timeout: float) -> dict[str, Any]:
    """Return a configuration whose route ``move`` goes to one service."""
    targets = {"look": "racks", "issue": "racks", "move": service}
    routes = [
        {
            "name": f"r-{name}",
            "hostname": "shop.example",
            "path_prefix": f"/{name}/",
            "route_type": "unsafe" if name == "issue" else "safe",
            "timeout": f"{int(timeout * 1000)}ms",
            "target_latency": "400ms",
            "priority": 1,
            "backend": target,
            "max_attempts": 2,
            "session_affinity": True,
            "allowed_regions": [],
        }
        for name, target in targets.items()
    ]
    backends = [
        {
            "name": name,
            "health_check_path": "/health",
            "max_connections": 330,
            "protocol": "h1",
            "tls": False,
            "cold_start": "0s",
            "cold_per_s": COLD_PER_S,
        }
        for name in SERVICES
    ]
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "backends": backends,
        "limits": LIMITS,
    }


def spoil(document: dict[str, Any], rng: Random) -> bytes:
    """Return the document with a fault that makes it invalid."""
    route = rng.choice(document["routes"])
    field, value = rng.choice(
        [
            ("max_attempts", 0),
            ("backend", "unknown"),
            ("timeout", "601s"),
            ("route_type", "odd"),
            ("target_latency", "300s"),
        ]
    )
    route[field] = value
    data = json.dumps(document).encode()
    return data[: len(data) // 2] if rng.random() < 0.2 else data


class Operator:
    """Own the version numbers, send changes and reads until told to stop."""

    def __init__(self, fleet: PlatformFleet, rng: Random, recorder: RecorderTask):
        self.fleet, self.rng, self.recorder = fleet, rng, recorder
        self.version = 0
        self.acknowledged: Change | None = None
        """Latest change that was acknowledged."""
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        while not self.stopping.wait(PAUSE_SECONDS * self.rng.random()):
            self.rng.choice([self.change, self.change, self.resend, self.misuse])()
            self.read()

    def change(self) -> Change:
        """Send a new version."""
        self.version += self.rng.randrange(1, 4)
        service, timeout = self.rng.choice(SERVICES), self.rng.choice(TIMEOUTS)
        document = make_manifest(self.version, service, timeout)
        change = self._put(document, service, timeout)
        if change.status == 200:
            self.acknowledged = change
        return change

    def changes_within(self, seconds: float) -> bool:
        """Return whether a new version is acknowledged and read back in a time."""
        end = time.monotonic() + seconds
        newest = self._try_until(end, lambda: self._accepted(self.change()))
        read = newest and self._try_until(end, self.read)
        return bool(read) and read.version == newest.version

    def _accepted(self, change: Change) -> Change | None:
        return change if change.status == 200 else None

    def _try_until(self, end: float, call: Callable[[], Any]) -> Any:
        """Repeat a call until it returns something, or the time is over."""
        result = None
        while result is None and time.monotonic() < end:
            result = call()
        return result

    def resend(self) -> None:
        """Send the version that was acknowledged last once more."""
        last = self.acknowledged
        if last is not None:
            document = make_manifest(last.version, last.service, last.timeout)
            self._put(document, last.service, last.timeout)

    def misuse(self) -> None:
        """Send an invalid configuration under a new version."""
        self.version += 1
        document = make_manifest(self.version, self.rng.choice(SERVICES), 0.5)
        self._put(spoil(document, self.rng), "", 0.5)

    def read(self) -> ReadBack | None:
        """Read the configuration back from one process."""
        name = self.rng.choice(sorted(self._controls()) or [""])
        sent_at = Seconds(time.monotonic())
        answer = self.fleet.call("GET", name, names.GET_ROUTING) if name else None
        if answer is None or answer.status != 200:
            return None
        version = Version(int(answer.json()["version"], 16))
        read = ReadBack(ProcessName(name), sent_at, answer.status, version)
        self.recorder.post(read)
        return read

    def _put(
        self, document: dict[str, Any] | bytes, service: str, timeout: float
    ) -> Change:
        valid = isinstance(document, dict)
        body = json.dumps(document).encode() if valid else document
        version = int(document["version"], 16) if valid else self.version
        sent_at, status = Seconds(time.monotonic()), 0
        for name in sorted(self._controls(), key=lambda _: self.rng.random()):
            answer = self.fleet.call("POST", name, names.PUT_ROUTING, body)
            status = answer.status if answer is not None else 0
            if status // 100 in (2, 4) and status != 429:
                break
        change = Change(
            Version(version),
            service,
            Seconds(timeout),
            valid,
            sent_at,
            Seconds(time.monotonic()),
            status,
        )
        self.recorder.post(change)
        return change

    def _controls(self) -> list[str]:
        return [name for name in self.fleet.processes if name.startswith("control")]
