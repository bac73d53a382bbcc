"""Send requests to a gateway at a steady rate, and note how each one ended."""

from __future__ import annotations

import http.client
import threading
import time
from dataclasses import dataclass

from .platform import FRONT

WAIT_S = 12.0
"""Time for which a client waits for an answer."""


@dataclass(frozen=True)
class Outcome:
    """Store how one request ended."""

    request: str
    sent_at: float
    seconds: float
    """Time from the end of the request to the end of its answer."""
    status: int
    """Status of the answer; 0 if there was none."""


class Clients:
    """Send each request on a connection of its own."""

    def __init__(self, gateway_host: str, hostname: str, prefix: str) -> None:
        self._gateway_host, self._hostname = gateway_host, hostname
        self._prefix = prefix
        self.outcomes: list[Outcome] = []
        self._threads: list[threading.Thread] = []
        self._count = 0

    def press(
        self, path: str, per_s: float, seconds: float, method: str = "GET"
    ) -> None:
        """Send requests at a rate for a number of seconds."""
        started_at, count = time.monotonic(), 0
        while time.monotonic() < started_at + seconds:
            thread = threading.Thread(
                target=self._send, args=(method, path, self._count)
            )
            thread.start()
            self._threads.append(thread)
            self._count += 1
            count += 1
            time.sleep(max(0.0, started_at + count / per_s - time.monotonic()))

    def join(self) -> None:
        """Wait until all requests have ended."""
        for thread in self._threads:
            thread.join(WAIT_S + 3.0)

    def _send(self, method: str, path: str, number: int) -> None:
        request = f"{self._prefix}{number:08x}"
        conn = http.client.HTTPConnection(self._gateway_host, FRONT, timeout=WAIT_S)
        headers = {
            "Host": self._hostname,
            "Request-Id": request,
            "Deadline-Ms": "3000",
            "Affinity-Key": str(number % 60),
        }
        status, sent_at = 0, time.monotonic()
        try:
            conn.request(method, path, headers=headers)
            sent_at = time.monotonic()
            answer = conn.getresponse()
            answer.read()
            status = answer.status
        except (OSError, http.client.HTTPException):
            pass
        finally:
            conn.close()
        seconds = time.monotonic() - sent_at
        self.outcomes.append(Outcome(request, sent_at, seconds, status))
