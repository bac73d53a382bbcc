"""Send requests as clients that keep connections, leave, or connect and stay silent."""

from __future__ import annotations

import http.client
import itertools
import threading
import time
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .history import Attempt
from .history import Ending
from .history import ProcessName
from .history import Seconds

if TYPE_CHECKING:
    from random import Random

    from .history import RecorderTask

CLIENT_TIMEOUT = 4.0
"""Seconds that a client waits; longer than the timeout of any route."""

LEAVE_SECONDS = 0.05
IDLE_CONNECTIONS = 4
"""Connections that a silent client opens, and sends nothing on, at a time."""

KEEP_PROBABILITY = 0.9
LEAVE_PROBABILITY = 0.02
PAUSE_SECONDS = 0.02
ROUTES = {"look": True, "issue": False, "move": True}
"""Whether the requests of each route are idempotent."""

REQUEST_NUMBERS = itertools.count(1)


@dataclass(frozen=True)
class Front:
    """Store the address at which a gateway takes requests."""

    gateway: ProcessName
    host: str
    port: int


class Client:
    """Own one connection at a time, and send requests on it until told to stop."""

    def __init__(self, fronts: list[Front], rng: Random, recorder: RecorderTask):
        self.fronts, self.rng, self.recorder = fronts, rng, recorder
        self.stopping = threading.Event()
        self._conn: http.client.HTTPConnection | None = None
        self._front = fronts[0]
        self._used = False
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        while not self.stopping.wait(self.rng.random() * 2 * PAUSE_SECONDS):
            self.recorder.post(self.send())
        self._drop()

    def send(self) -> Attempt:
        """Send one request, and return how it ended."""
        route = self.rng.choice(list(ROUTES))
        number = f"{next(REQUEST_NUMBERS):08x}"
        body = b"" if ROUTES[route] else number.encode() * self.rng.randrange(1, 900)
        path = f"/{route}/{number}"
        sent_at = Seconds(time.monotonic())
        front, used = self._front, self._used
        ending, answer, content = Ending.NOT_SENT, None, b""
        try:
            conn = self._connect()
            front, used = self._front, self._used
            sent_at = Seconds(time.monotonic())
            ending = Ending.CLOSED
            conn.request(
                "GET" if ROUTES[route] else "POST",
                path,
                body=body or None,
                headers={
                    "Host": "shop.example",
                    "Request-Id": number,
                    "Affinity-Key": str(self.rng.randrange(20)),
                    "Deadline-Ms": str(int(CLIENT_TIMEOUT * 1000)),
                },
            )
            if self.rng.random() < LEAVE_PROBABILITY:
                time.sleep(LEAVE_SECONDS * self.rng.random())
                ending = Ending.LEFT
                self._drop()
            else:
                answer = conn.getresponse()
                content = answer.read()
                ending = Ending.ANSWERED
                self._used = True
                if answer.will_close or self.rng.random() > KEEP_PROBABILITY:
                    self._drop()
        except TimeoutError:
            if ending is Ending.CLOSED:
                ending = Ending.UNANSWERED
            self._drop()
        except (OSError, http.client.HTTPException):
            self._drop()
        return Attempt(
            number,
            front.gateway,
            ROUTES[route],
            path,
            body,
            sent_at,
            Seconds(time.monotonic()),
            ending,
            answer.status if answer is not None else 0,
            answer.getheader("Server-Signature", "") if answer is not None else "",
            content,
            used,
        )

    def _connect(self) -> http.client.HTTPConnection:
        if self._conn is None:
            self._front = self.rng.choice(self.fronts)
            self._used = False
            self._conn = http.client.HTTPConnection(
                self._front.host, self._front.port, timeout=CLIENT_TIMEOUT
            )
            self._conn.connect()
        return self._conn

    def _drop(self) -> None:
        if self._conn is not None:
            with suppress(OSError):
                self._conn.close()
            self._conn = None
