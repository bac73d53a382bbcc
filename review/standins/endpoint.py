"""Stand in for an endpoint: report its status and answer requests as the pages say."""

from __future__ import annotations

import http.client
import json
import socket
import threading
import time
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .platform import CONTROL

if TYPE_CHECKING:
    from collections.abc import Callable

    from .platform import Machine

BEAT_S = 1.5
SLOTS = 9


@dataclass
class Request:
    """One request as an endpoint has received it."""

    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Return the value of Request-Id."""
        return self.headers.get("request-id", "")


@dataclass
class Arrival:
    """Tell which request began to run at an endpoint, and when."""

    at: float
    request: str
    endpoint: str


@dataclass
class Endpoint:
    """Run requests on a number of slots; ``spoil`` may write other bytes instead."""

    name: str
    host: str
    port: int
    service: str
    zone: str
    controls: list[Machine]
    work_s: float = 0.05
    slots: int = SLOTS
    spoil: Callable[[Endpoint, socket.socket, Request], bool] | None = None
    """Called in place of the answer; True if it has written to the connection."""
    arrivals: list[Arrival] = field(default_factory=list)
    state: str = "ready"

    def __post_init__(self) -> None:
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._slots = threading.Semaphore(self.slots)
        self._running = 0
        self._sockets: set[socket.socket] = set()
        self.silent = threading.Event()
        """Set once it sends no more status reports."""
        self._listener = socket.create_server((self.host, self.port), backlog=256)

    def start(self) -> None:
        """Accept connections and send status reports until ``silent`` is set."""
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._report_always, daemon=True).start()

    def end(self) -> None:
        """Take no more connections and requests; finish those that run."""
        self.silent.set()
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in list(self._sockets):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RD)

    def _report_always(self) -> None:
        turn = 0
        while not self.silent.is_set():
            for _ in self.controls:
                turn += 1
                if self._report(self.controls[turn % len(self.controls)]):
                    break
            self.silent.wait(BEAT_S)

    def _report(self, machine: Machine) -> bool:
        """Send a status report; return whether it was acknowledged."""
        return self.send_report(machine, self.make_report())

    def send_report(self, machine: Machine, body: str) -> bool:
        """Deliver a status report; return whether it was acknowledged."""
        return post(machine, f"/-/Instances.Heartbeat/{self.name}", body)

    def deregister(self, machine: Machine) -> bool:
        """Say that the endpoint leaves; return whether that was acknowledged."""
        body = json.dumps({"born": self.born})
        return post(machine, f"/-/Instances.Deregister/{self.name}", body)

    def make_report(self) -> str:
        """Return the next status report."""
        self._sequence += 1
        return json.dumps(
            {
                "address": f"{self.host}:{self.port}",
                "born": self.born,
                "info": {
                    "backend": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "slots": self.slots,
                },
                "status": {
                    "state": self.state,
                    "sequence": self._sequence,
                    "cold_remaining": "0ms",
                },
            }
        )

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sockets.add(sock)
        with suppress(OSError, ValueError), sock, sock.makefile("rb") as stream:
            while (request := _read_request(stream)) is not None:
                if not self._handle(sock, request):
                    break
        self._sockets.discard(sock)

    def _handle(self, sock: socket.socket, request: Request) -> bool:
        """Answer one request; return whether the connection stays open."""
        if request.line.split()[1] == "/health":
            sock.sendall(make_answer(200, b"", [("Instance-Id", self.name)]))
            return True
        if request.headers.get("expect-instance", self.name) != self.name:
            sock.sendall(self.answer(request, 421, b"", [("Not-Executed", "1")]))
            return True
        with self._slots:
            self._running += 1
            self.arrivals.append(Arrival(time.monotonic(), request.id, self.name))
            try:
                time.sleep(self.work_s)
                if self.spoil is not None and self.spoil(self, sock, request):
                    return False
            finally:
                self._running -= 1
        sock.sendall(self.answer(request, 200, b"done " + request.id.encode()))
        return True

    def answer(
        self,
        request: Request,
        status: int,
        body: bytes,
        more: list[tuple[str, str]] | None = None,
    ) -> bytes:
        """Return a complete answer to a request."""
        fields = [
            ("Request-Id", request.id),
            ("Server-Signature", f"{self.name}.{request.id}"),
            ("Server-Load", f"{self._running},0,{self.slots}"),
            ("Keep-Alive", "timeout=10"),
        ]
        return make_answer(status, body, fields + (more or []))


def post(machine: Machine, path: str, body: str) -> bool:
    """Call a control process; return whether it answered with a 2xx in a second."""
    conn = http.client.HTTPConnection(machine.host, CONTROL, timeout=1.0)
    try:
        conn.request("POST", path, body, {"Content-Type": "application/json"})
        return conn.getresponse().status // 100 == 2
    except (OSError, http.client.HTTPException):
        return False
    finally:
        conn.close()


def make_answer(status: int, body: bytes, fields: list[tuple[str, str]]) -> bytes:
    """Return an answer with a length."""
    head = "".join(f"{name}: {value}\r\n" for name, value in fields)
    return (
        f"HTTP/1.1 {status} Status\r\n{head}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def _read_request(stream: object) -> Request | None:
    """Read one request with its body; None if the connection has ended."""
    line = stream.readline().decode("latin-1").strip()
    if not line:
        return None
    headers: dict[str, str] = {}
    while (field_line := stream.readline().decode("latin-1").strip()) != "":
        name, _, value = field_line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = stream.read(size) if size else b""
    return Request(line, headers, body)
