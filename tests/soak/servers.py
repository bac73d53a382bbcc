"""Run backend servers that misbehave and record each request that they run."""

from __future__ import annotations

import hashlib
import socket
import threading
import time
from contextlib import suppress
from enum import StrEnum
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from typing import Any

from snipecart.platform import names

from .history import Pause
from .history import Run
from .history import Seconds
from .history import ServerName
from .proxy import Proxy

SLOTS = 9
USUAL_SECONDS = 0.03
SLOW_SECONDS = 0.7
SILENT_SECONDS = 6.0
SMALL_CHUNKS = b"10\r\n0123456789abcdef\r\n" * 1000
PAUSE_SECONDS = 1.5
COLD_PER_S = 3.0
"""Requests per second that a cold server takes."""


class Conduct(StrEnum):
    """How a server answers."""

    SOUND = "sound"
    SLOW = "slow"
    SILENT = "silent"
    """It runs requests and doesn't answer them."""
    CUT = "cut"
    """It breaks off its answers."""
    TWICE = "twice"
    """It writes each answer a second time, a moment later."""
    REFUSING = "refusing"
    """It refuses requests without running them."""
    REFUSES_AGAIN = "refuses again"
    """It refuses a request, and writes that again before the next answer."""
    FAILING = "failing"
    """It runs requests and answers with 500."""
    PAUSING = "pausing"
    """It refuses requests and asks for a pause."""
    SPOILED = "spoiled"
    """Its load reports have numbers of many digits."""
    ENDLESS = "endless"
    """It answers with small chunks without end."""


def sign(request: str, server: str, body: bytes) -> str:
    """Return the signature of an answer."""
    return hashlib.sha256(f"{server}.{request}.".encode() + body).hexdigest()[:24]


class SoakServer:
    """Represent one run of a backend server behind a proxy of its own."""

    def __init__(
        self, host: str, number: int, service: str, zone: str, recorder: Any
    ) -> None:
        self.name = ServerName(f"i-{number:04d}")
        self.service, self.zone = service, zone
        self.conduct = Conduct.SOUND
        self.leaving = False
        self.says_leaving = False
        self.limit = 0.0
        """Requests per second that it names as its limit; 0 for none."""
        self.named_limit = False
        """Whether it has ever named a limit."""
        self.cold_since = self.cold_until = Seconds(0.0)
        """Time in which it holds gateways to its rate while cold."""
        self.born, self.sequence = int(time.time() * 1000), 0
        self.recorder = recorder
        self.server = _Server((host, 9000 + number), self._handler())
        self.proxy = Proxy(host, 12_000 + number, (host, 9000 + number))
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def describe(self) -> dict[str, Any]:
        """Return the fields of its next heartbeat."""
        self.sequence += 1
        state = names.DRAINING if self.leaving else "ready"
        return {
            "address": self.proxy.address,
            "born": self.born,
            "info": {
                "backend": self.service,
                "zone": self.zone,
                "slots": SLOTS,
                "version": "v1",
            },
            "status": {
                "state": state,
                "sequence": self.sequence,
                "cold_remaining": f"{self._cold_ms()}ms",
            },
        }

    def become_cold(self, seconds: float) -> None:
        """Be cold for some seconds, and hold gateways to the rate from then on."""
        self.cold_since = Seconds(time.monotonic())
        self.cold_until = Seconds(self.cold_since + seconds)

    def _cold_ms(self) -> int:
        return max(0, int(1000 * (self.cold_until - time.monotonic())))

    @property
    def cold_rate(self) -> float:
        """Return the requests per second that it takes while cold; 0 for no limit."""
        is_cold = self.cold_since <= time.monotonic() < self.cold_until
        return COLD_PER_S if is_cold else 0.0

    def close(self) -> None:
        """Stop the server and its proxy."""
        self.proxy.close()
        self.server.shutdown()
        self.server.server_close()

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        owner = self

        class Handler(_Handler):
            """Answer the requests of one server."""

            soak_server = owner

        return Handler


class _Server(ThreadingHTTPServer):
    request_queue_size = 256
    daemon_threads = True

    def handle_error(self, *args: Any) -> None:
        """Ignore connections that break."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    soak_server: SoakServer
    refusal = b""
    """The latest refusal on the connection, as it was written."""

    def do_GET(self) -> None:
        """Run a request, or refuse it."""
        server, conduct = self.soak_server, self.soak_server.conduct
        size = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(size)
        if len(body) < size:
            # The gateway has ended, or its client has left.
            self.close_connection = True
            return
        request = self.headers.get("Request-Id", "")
        if self.headers.get("Expect-Instance") != server.name:
            self._write(self._head(421, b"", ("Not-Executed", "1")))
            return
        if conduct is Conduct.PAUSING:
            self._refuse_with_pause()
            return
        refuses = conduct is Conduct.REFUSING or (
            conduct is Conduct.REFUSES_AGAIN and not self.refusal
        )
        if refuses:
            self.refusal = self._head(503, b"", ("Not-Executed", "1"))
            self._write(self.refusal)
            return
        status = 500 if conduct is Conduct.FAILING else 200
        server.recorder.post(
            Run(
                request,
                server.name,
                server.service,
                self.client_address[0],
                self.path,
                body,
                Seconds(time.monotonic()),
                status,
                server.says_leaving,
                server.limit,
                server.zone,
                server.cold_rate,
            )
        )
        if conduct is Conduct.ENDLESS:
            self._write_chunks()
            return
        notices = self._notices()
        time.sleep(SLOW_SECONDS if conduct is Conduct.SLOW else USUAL_SECONDS)
        if conduct is Conduct.SILENT:
            time.sleep(SILENT_SECONDS)
            self.close_connection = True
            return
        text = self.path.encode() + b"|" + body
        signature = sign(request, server.name, text)
        answer = self._head(status, text, ("Server-Signature", signature), *notices)
        if conduct is Conduct.CUT:
            self._write(answer[: -len(text) // 2])
            self.close_connection = True
            return
        if conduct is Conduct.REFUSES_AGAIN:
            answer = self.refusal + answer
        self._write(answer)
        if conduct is Conduct.TWICE:
            time.sleep(USUAL_SECONDS)
            self._write(answer)

    do_POST = do_GET

    def _refuse_with_pause(self) -> None:
        server, at = self.soak_server, Seconds(time.monotonic())
        self._write(
            self._head(
                503, b"", ("Not-Executed", "1"), ("Retry-After", str(PAUSE_SECONDS))
            )
        )
        gateway = self.client_address[0]
        server.recorder.post(Pause(server.name, gateway, at, Seconds(PAUSE_SECONDS)))

    def _write_chunks(self) -> None:
        """Write chunks until the gateway closes the connection, or for a while."""
        head = self._head(200, b"").replace(
            b"Content-Length: 0", b"Transfer-Encoding: chunked"
        )
        self.close_connection = True
        end = time.monotonic() + SILENT_SECONDS
        with suppress(OSError):
            self.connection.sendall(head)
            while time.monotonic() < end:
                self.connection.sendall(SMALL_CHUNKS)

    def _notices(self) -> list[tuple[str, str]]:
        """Return the headers by which the server asks gateways for something."""
        server, notices = self.soak_server, []
        if server.conduct is Conduct.SPOILED:
            notices.append(("Server-Load", f"{'9' * 400},0,{SLOTS}"))
        if server.says_leaving:
            notices.append(("Server-Leaving", "1"))
        if server.limit:
            notices.append(("Server-Limit", str(server.limit)))
        return notices

    def _head(self, status: int, body: bytes, *more: tuple[str, str]) -> bytes:
        """Return a whole answer as bytes."""
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in more]
        lines.append(f"Request-Id: {self.headers.get('Request-Id', '')}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    def _write(self, data: bytes) -> None:
        with suppress(OSError):
            self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connection.sendall(data)

    def log_message(self, *args: Any) -> None:
        """Suppress the request log."""
