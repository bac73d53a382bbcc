"""Send orders to the control processes as the platform's operator does."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError

from .platform import CONTROL

if TYPE_CHECKING:
    from .platform import Machine

FINAL_STATUSES = frozenset({400, 409, 412, 413, 422})


class Operator:
    """Send an order to one control process after the other until it is answered."""

    def __init__(self, machines: list[Machine]) -> None:
        self._machines = machines
        self._next = 0
        follow = urllib3.Retry(
            2, connect=0, read=0, status=0, other=0, respect_retry_after_header=False
        )
        self._pool = urllib3.PoolManager(retries=follow, timeout=2.0, maxsize=4)

    def call(self, method: str, path: str, body: bytes, seconds: float) -> Any:
        """Return the first clear answer within a number of seconds, or None."""
        pause, until = 0.05, time.monotonic() + seconds
        while time.monotonic() < until:
            machine = self._machines[self._next % len(self._machines)]
            self._next += 1
            url = f"http://{machine.host}:{CONTROL}{path}"
            headers = {"Content-Type": "application/json"}
            try:
                answer = self._pool.request(method, url, body=body, headers=headers)
            except HTTPError:
                answer = None
            if answer is not None and (
                answer.status // 100 == 2 or answer.status in FINAL_STATUSES
            ):
                return answer
            time.sleep(pause)
            pause = min(0.5, pause * 1.5)
        return None

    def submit(self, manifest: bytes, seconds: float) -> int:
        """Send a manifest; return the status of the answer, or 0."""
        answer = self.call("POST", "/-/Config.Replace", manifest, seconds)
        return answer.status if answer is not None else 0

    def read(self, seconds: float) -> bytes | None:
        """Read the newest manifest back."""
        answer = self.call("GET", "/-/Config.Get", b"", seconds)
        return answer.data if answer is not None and answer.status == 200 else None


def make_route(name: str, host: str, prefix: str, **more: Any) -> dict[str, Any]:
    """Return a route in the form of the platform's example."""
    return {
        "name": name,
        "hostname": host,
        "path_prefix": prefix,
        "route_type": "safe",
        "timeout": "800ms",
        "target_latency": "400ms",
        "priority": 1,
        "weighted_backends": [
            {"backend": "huvo11a", "weight": 90},
            {"backend": "wuno96b", "weight": 10},
        ],
        "max_attempts": 2,
        "session_affinity": True,
        "allowed_regions": [],
        **more,
    }


def make_manifest(version: int, routes: list[dict[str, Any]]) -> bytes:
    """Return a manifest in the form of the platform's example."""
    services = [
        {
            "name": name,
            "health_check_path": "/health",
            "max_connections": 330,
            "protocol": "h1",
            "tls": False,
            "cold_start": "3s",
            "cold_per_s": 9.7,
        }
        for name in ("huvo11a", "wuno96b")
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    }
    return json.dumps(
        {
            "version": f"{version:08x}",
            "routes": routes,
            "backends": services,
            "limits": limits,
        }
    ).encode()
