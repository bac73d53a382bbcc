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


@dataclass(frozen=True)
class Answer:
    """Store a whole answer."""

    status: int = 0
    signature: str = ""
    body: bytes = b""


NO_ANSWER = Answer()


class Client:
    """Own one connection at a time, and send requests on it until told to stop."""

    def __init__(self, fronts: list[Front], rng: Random, recorder: RecorderTask):
        self.fronts, self.rng, self.recorder = fronts, rng, recorder
        self.stopping = threading.Event()
        self._conn: http.client.HTTPConnection | None = None
        self._front = fronts[0]
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
        answer = NO_ANSWER
        try:
            conn = self._connect()
        except OSError:
            self._drop()
            ending = Ending.NOT_SENT
        else:
            sent_at = Seconds(time.monotonic())
            ending, answer = self._exchange(conn, number, path, body)
        return Attempt(
            number,
            self._front.gateway,
            ROUTES[route],
            path,
            body,
            sent_at,
            Seconds(time.monotonic()),
            ending,
            answer.status,
            answer.signature,
            answer.body,
        )

    def _exchange(
        self, conn: http.client.HTTPConnection, number: str, path: str, body: bytes
    ) -> tuple[Ending, Answer]:
        """Send a request, and read its whole answer unless the client leaves."""
        headers = {
            "Host": "shop.example",
            "Request-Id": number,
            "Affinity-Key": str(self.rng.randrange(20)),
            "Deadline-Ms": str(int(CLIENT_TIMEOUT * 1000)),
        }
        try:
            conn.request("POST" if body else "GET", path, body or None, headers)
            if self.rng.random() < LEAVE_PROBABILITY:
                time.sleep(LEAVE_SECONDS * self.rng.random())
                self._drop()
                return Ending.LEFT, NO_ANSWER
            raw = conn.getresponse()
            content = raw.read()
        except TimeoutError:
            self._drop()
            return Ending.UNANSWERED, NO_ANSWER
        except (OSError, http.client.HTTPException):
            self._drop()
            return Ending.CLOSED, NO_ANSWER
        if raw.will_close or self.rng.random() > KEEP_PROBABILITY:
            self._drop()
        signature = raw.getheader("Server-Signature", "")
        return Ending.ANSWERED, Answer(raw.status, signature, content)

    def _connect(self) -> http.client.HTTPConnection:
        if self._conn is None:
            self._front = self.rng.choice(self.fronts)
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
