"""Pass connections on over loopback, and delay, reset or silence them."""

from __future__ import annotations

import socket
import struct
import threading
import time
from contextlib import suppress
from enum import StrEnum

PIECE_BYTES = 65_536
DELAY_SECONDS = 0.15
POLL_SECONDS = 0.02
LINGER_RESET = struct.pack("ii", 1, 0)


class LinkMode(StrEnum):
    """What a proxy does with bytes."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    """Reset each connection once bytes come."""
    NO_REQUESTS = "no requests"
    """Hold back what clients send."""
    NO_ANSWERS = "no answers"
    """Hold back what servers send."""
    SILENT = "silent"


HELD_FORTH = frozenset({LinkMode.NO_REQUESTS, LinkMode.SILENT})
HELD_BACK = frozenset({LinkMode.NO_ANSWERS, LinkMode.SILENT})


class Proxy:
    """Pass connections to one address on, from the address of each client."""

    def __init__(self, host: str, port: int, target: tuple[str, int]) -> None:
        self.mode = LinkMode.PASS
        self.address = f"{host}:{port}"
        self._target = target
        self._listener = socket.create_server((host, port), backlog=512)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                client, address = self._listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(
                    self._target, 1.0, source_address=(address[0], 0)
                )
            except OSError:
                client.close()
                continue
            server.settimeout(None)
            for source, sink, held in (
                (client, server, HELD_FORTH),
                (server, client, HELD_BACK),
            ):
                pump = threading.Thread(
                    target=self._pump, args=(source, sink, held), daemon=True
                )
                pump.start()

    def _pump(
        self, source: socket.socket, sink: socket.socket, held: frozenset[LinkMode]
    ) -> None:
        """Pass bytes on in one direction until a side closes."""
        with suppress(OSError):
            while piece := source.recv(PIECE_BYTES):
                if self.mode is LinkMode.DELAY:
                    time.sleep(DELAY_SECONDS)
                while self.mode in held:
                    time.sleep(POLL_SECONDS)
                if self.mode is LinkMode.RESET:
                    for sock in (source, sink):
                        sock.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
                        )
                        sock.close()
                    return
                sink.sendall(piece)
        for sock in (source, sink):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
