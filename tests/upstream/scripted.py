"""Simulate a backend server that writes exactly the bytes that a test specifies."""

from __future__ import annotations

import socket
import struct
import threading
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

RESET = b"<reset>"
"""Reset the connection."""

CLOSE = b"<close>"
"""Close the connection in order."""


@dataclass
class ScriptedServer:
    """Store the script of each answer, and the requests received."""

    scripts: list[Iterable[bytes]]
    port: int = 0
    requests: list[bytes] = field(default_factory=list)
    connections: int = 0
    reads_bodies: bool = True
    stopped: threading.Event = field(default_factory=threading.Event)


def _read_request(conn: socket.socket, reads_body: bool) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        try:
            chunk = conn.recv(65536)
        except ConnectionResetError:
            return b""
        if not chunk:
            return data
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    while reads_body and len(body) < length:
        body += conn.recv(65536)
    return head + b"\r\n\r\n" + body


def _serve(conn: socket.socket, server: ScriptedServer) -> None:
    with conn:
        while True:
            request = _read_request(conn, server.reads_bodies)
            if not request:
                return
            server.requests.append(request)
            script = server.scripts.pop(0) if server.scripts else [CLOSE]
            for piece in script:
                if piece == RESET:
                    linger = struct.pack("ii", 1, 0)
                    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                if piece in (RESET, CLOSE):
                    return
                try:
                    conn.sendall(piece)
                except OSError:
                    return
            if b"content-length: " in request.lower() and not server.reads_bodies:
                server.stopped.wait()
                return


@contextmanager
def scripted_server(
    *scripts: Iterable[bytes], reads_bodies: bool = True
) -> Iterator[ScriptedServer]:
    """Answer each request by the next script; close the connection after the last."""
    server = ScriptedServer(list(scripts), reads_bodies=reads_bodies)
    listener = socket.create_server(("127.0.0.1", 0))
    server.port = listener.getsockname()[1]

    def accept() -> None:
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            server.connections += 1
            threading.Thread(target=_serve, args=(conn, server), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield server
    finally:
        server.stopped.set()
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
