"""Play backend servers with slots, service times and faults."""

from __future__ import annotations

import json
import threading
from collections import Counter
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import urllib3
from cheroot.wsgi import Server
from urllib3.exceptions import HTTPError

from ..core.states import EndpointState
from ..core.task import Task
from ..core.task import monotonic

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..program.settings import StandinEndpoint
    from ..program.settings import StandinSettings

CONNECTIONS = 330
"""Connections that one backend server takes."""

ANNOUNCE_WAIT = 1.0
"""Seconds that an announcement may take."""

SHED_FACTOR = 2
"""Calls over its slots, in multiples of them, that a server queues before it sheds."""


@dataclass
class Behaviour:
    """Hold how a backend server misbehaves, set over HTTP by a test or benchmark."""

    fail: bool = False
    """Answer 503 without having run the call."""
    silent: bool = False
    """Take calls and never answer."""
    slow: float = 1.0
    """Times as long for every call."""
    lie: float = -1.0
    """Load to report, whatever the truth; below 0, the truth."""
    cut: bool = False
    """Cut answers short."""


@dataclass
class Tally:
    """Count what a backend server saw."""

    received: int = 0
    runs: Counter[str] = field(default_factory=Counter)
    """Runs by request key."""
    over_slots: int = 0
    shed: int = 0
    most_at_once: int = 0
    last_new_work: float = 0.0


class BackendServer:
    """Play one backend server."""

    def __init__(self, cfg: StandinSettings, at: StandinEndpoint) -> None:
        self.cfg, self.at = cfg, at
        self.endpoint = f"{at.host}:{at.port}"
        self.behaviour = Behaviour()
        self.tally = Tally()
        self.state = EndpointState.SERVING
        self._slots = threading.Semaphore(cfg.slots)
        self._lock = threading.Lock()
        self._running = 0
        self._cancelled: dict[str, threading.Event] = {}
        self._started = monotonic()
        self.stopping = threading.Event()

    def __call__(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        """Answer calls, cancellations and control requests."""
        path = environ.get("PATH_INFO", "")
        if path.startswith("/calls/"):
            return self._cancel(path.removeprefix("/calls/"), start_response)
        if path == "/standin":
            return self._control(environ, start_response)
        return self._run(environ, start_response)

    def load(self) -> float:
        """Return the load to report, calls at hand to slots."""
        if self.behaviour.lie >= 0:
            return self.behaviour.lie
        return self._running / self.cfg.slots

    def _run(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        environ["wsgi.input"].read(length)
        call = environ.get("HTTP_SNIPECART_CALL", "")
        key = environ.get("HTTP_SNIPECART_KEY", "")
        wait = int(environ.get("HTTP_SNIPECART_DEADLINE_MS", "60000")) / 1000
        cancelled = threading.Event()
        with self._lock:
            self.tally.received += 1
            self.tally.last_new_work = monotonic()
            self._running += 1
            over = self._running > self.cfg.slots
            self.tally.over_slots += over
            self.tally.most_at_once = max(self.tally.most_at_once, self._running)
            crowded = self._running > self.cfg.slots * (1 + SHED_FACTOR)
            self._cancelled[call] = cancelled
        try:
            if self.behaviour.silent:
                self.stopping.wait(wait + 5.0)
                return self._refuse(start_response, call)
            if crowded or self.behaviour.fail:
                return self._refuse(start_response, call)
            return self._serve(call, key, wait, cancelled, start_response)
        finally:
            with self._lock:
                self._running -= 1
                self._cancelled.pop(call, None)

    def _serve(
        self, call: str, key: str, wait: float, cancelled: Any, start_response: Any
    ) -> list[bytes]:
        if not self._slots.acquire(timeout=wait):
            return self._refuse(start_response, call)
        try:
            if key:
                with self._lock:
                    self.tally.runs[key] += 1
            cancelled.wait(self._service_seconds())
        finally:
            self._slots.release()
        body = json.dumps({"call": call, "key": key, "by": self.endpoint}).encode()
        body += b" " * max(0, self.cfg.answer_bytes - len(body))
        stated = len(body) + (100 if self.behaviour.cut else 0)
        start_response("200 OK", self._headers(call, stated))
        return [body]

    def _service_seconds(self) -> float:
        seconds = self.cfg.service_ms / 1000 * self.behaviour.slow
        cold = monotonic() - self._started < self.cfg.cold_s
        return seconds * (self.cfg.cold_factor if cold else 1.0)

    def _refuse(self, start_response: Any, call: str) -> list[bytes]:
        with self._lock:
            self.tally.shed += 1
        headers = [*self._headers(call, 0), ("Snipecart-Not-Run", "1")]
        start_response("503 Service Unavailable", headers)
        return [b""]

    def _headers(self, call: str, length: int) -> list[tuple[str, str]]:
        return [
            ("Content-Type", "application/json"),
            ("Content-Length", str(length)),
            ("Snipecart-Call", call),
            ("Snipecart-Load", f"{self.load():.3f}"),
        ]

    def _cancel(self, call: str, start_response: Any) -> list[bytes]:
        with self._lock:
            event = self._cancelled.get(call)
        if event is not None:
            event.set()
        start_response("204 No Content", [])
        return []

    def _control(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        for name, value in json.loads(
            environ["wsgi.input"].read(length) or b"{}"
        ).items():
            if name == "state":
                self.state = EndpointState(value)
            else:
                setattr(self.behaviour, name, value)
        tally = self.tally
        repeated = {key: runs for key, runs in tally.runs.items() if runs > 1}
        body = json.dumps(
            {
                "endpoint": self.endpoint,
                "received": tally.received,
                "keys_run": len(tally.runs),
                "keys": list(tally.runs),
                "repeated": repeated,
                "over_slots": tally.over_slots,
                "most_at_once": tally.most_at_once,
                "shed": tally.shed,
                "running": self._running,
                "idle_s": monotonic() - tally.last_new_work,
            }
        ).encode()
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]


class Announcer(Task):
    """Announce one backend server to entry processes in turn."""

    def __init__(self, cfg: StandinSettings, server: BackendServer, turn: int) -> None:
        super().__init__(f"announcer {server.endpoint}")
        self._cfg, self._server = cfg, server
        self._pool = urllib3.PoolManager(maxsize=1)
        self._turn = turn
        self._due = 0.0

    def next_wait(self, now: float) -> float:
        """Block until the next round is due."""
        return self._due - now

    def handle(self, batch: list[Any], now: float) -> None:
        """Announce the server to one entry process, to two when it leaves."""
        if not batch and now < self._due:
            return
        self._due = now + self._cfg.announce_ms / 1000
        self._turn += 1
        leaving = self._server.state is EndpointState.LEAVING
        for step in range(min(1 + leaving, len(self._cfg.entries))):
            entry = (self._turn + step) % len(self._cfg.entries)
            self._announce(self._server, self._cfg.entries[entry])

    def _announce(self, server: BackendServer, entry: str) -> None:
        body = {
            "endpoint": server.endpoint,
            "service": self._cfg.service,
            "region": server.at.region,
            "zone": server.at.zone,
            "slots": self._cfg.slots,
            "state": server.state,
            "lease_ms": self._cfg.lease_ms,
        }
        try:
            self._pool.request(
                "POST",
                f"http://{entry}/announce",
                json=body,
                retries=False,
                timeout=ANNOUNCE_WAIT,
            )
        except HTTPError:
            return


def _threads(cfg: StandinSettings) -> int:
    return min(CONNECTIONS, cfg.slots * (1 + SHED_FACTOR) + 4)


@contextmanager
def standin_program(cfg: StandinSettings) -> Iterator[list[BackendServer]]:
    """Play backend servers until the block ends, then leave and finish."""
    servers = [BackendServer(cfg, at) for at in cfg.endpoints]
    listeners = []
    for server in servers:
        listener = Server(
            (server.at.host, server.at.port),
            server,
            numthreads=_threads(cfg),
            request_queue_size=CONNECTIONS,
            shutdown_timeout=10,
        )
        listener.prepare()
        thread = threading.Thread(target=listener.serve, daemon=True)
        thread.start()
        listeners.append(listener)
    announcers = [Announcer(cfg, server, at) for at, server in enumerate(servers)]
    for announcer in announcers:
        announcer.start()
    try:
        yield servers
        for server in servers:
            server.state = EndpointState.LEAVING
        for announcer in announcers:
            announcer.post("leaving")
        threading.Event().wait(cfg.announce_ms / 1000 + 2.0)
    finally:
        for server in servers:
            server.stopping.set()
        for announcer in announcers:
            announcer.stop()
        for listener in listeners:
            listener.stop()
