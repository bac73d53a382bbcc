"""Manage connections between processes, with a thread for each direction."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from ..core.events import MESSAGE_UNENCODABLE
from ..core.events import PEER_CONNECTED
from ..core.events import PEER_LOST
from ..core.events import PEER_MESSAGE_REJECTED
from ..core.events import emit
from ..core.ids import Instant
from ..core.memory import MemoryBudget
from ..core.task import Task
from ..core.task import monotonic
from .codec import EncodingFailed
from .codec import Envelope
from .codec import decode
from .codec import encode
from .frames import FRAME_MEMORY_BYTES
from .frames import FrameRefused
from .frames import configure_socket
from .frames import connect
from .frames import open_listener
from .frames import receive_frames
from .frames import send_frames

RECONNECT_INTERVAL = 0.2
"""Seconds between two attempts to connect."""

MAX_CONNECTIONS = 2_048
"""Connections that a listener serves at the same time; each has two threads."""

FRAME_MEMORY = MemoryBudget(FRAME_MEMORY_BYTES)
"""Memory for the large frames that this process receives."""

LINK_MAILBOX_SIZE = 2048
"""Maximum number of messages that wait to be sent on a connection."""


@dataclass(frozen=True)
class IncomingMessage:
    """Represent a received message and the function that answers it."""

    message: Any
    reply: Callable[[Any], None]


@dataclass(frozen=True)
class EncodedMessage:
    """Store a message without correlation, encoded once for several connections."""

    frame: bytes


Sink = Callable[[IncomingMessage], None]


class Writer(Task):
    """Send the messages of one connection from a thread of its own."""

    def __init__(self, sock: socket.socket, name: str) -> None:
        super().__init__(name, LINK_MAILBOX_SIZE)
        self._sock = sock

    def handle(self, batch: list[Envelope | EncodedMessage], now: Instant) -> None:
        """Send all waiting messages in one write; stop if the connection has failed."""
        if not batch:
            return
        frames = [encode_or_drop(item) for item in batch]
        try:
            send_frames(self._sock, [frame for frame in frames if frame is not None])
        except OSError:
            self._stopping.set()

    def close(self) -> None:
        """Close the connection, which also ends the thread that reads from it."""
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()


def encode_or_drop(item: Envelope | EncodedMessage) -> bytes | None:
    """Return the frame of a message; None if a value exceeds its field.

    Such a message costs no other one: senders repeat what is still needed, and wait no
    longer for an answer than for one that was lost.
    """
    if isinstance(item, EncodedMessage):
        return item.frame
    try:
        return encode(item.message, item.correlation)
    except EncodingFailed as exc:
        emit(MESSAGE_UNENCODABLE, detail=str(exc))
        return None


def read_messages(
    sock: socket.socket, peer: str, deliver: Callable[[Envelope], None]
) -> None:
    """Deliver each message until the connection ends or a message is invalid."""
    try:
        for frame in receive_frames(sock, FRAME_MEMORY):
            envelope = decode(frame)
            if envelope.is_error():
                emit(PEER_MESSAGE_REJECTED, peer=peer, detail=envelope.error.detail)
                return
            deliver(envelope.ok)
    except FrameRefused as exc:
        emit(PEER_MESSAGE_REJECTED, peer=peer, detail=str(exc))
    except (OSError, ValueError):
        return


class Listener:
    """Accept connections, with a reader and a writer for each.

    ``sink`` is called with each received message, in the thread of its connection.
    """

    def __init__(self, host: str, port: int, sink: Sink) -> None:
        self._host, self._port, self._sink = host, port, sink
        self._writers: set[Writer] = set()
        self._sock: socket.socket | None = None
        self._thread = threading.Thread(
            target=self._accept, name="listener", daemon=True
        )

    def start(self) -> None:
        """Start listening, or raise OSError if the address can't be bound."""
        self._sock = open_listener(self._host, self._port)
        self._thread.start()

    def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._sock is None:
            return
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
        for writer in list(self._writers):
            writer.stop(1.0)

    def _accept(self) -> None:
        while True:
            try:
                conn, address = self._sock.accept()
            except OSError:
                return
            peer = f"{address[0]}:{address[1]}"
            if len(self._writers) >= MAX_CONNECTIONS:
                emit(PEER_MESSAGE_REJECTED, peer=peer, detail="too many connections")
                conn.close()
                continue
            configure_socket(conn)
            writer = Writer(conn, f"writer {peer}")
            self._writers.add(writer)
            threading.Thread(
                target=self._serve, args=(conn, peer, writer), name=peer, daemon=True
            ).start()

    def _serve(self, conn: socket.socket, peer: str, writer: Writer) -> None:
        """Read the messages of one connection, and answer on the same connection."""
        writer.start()

        def deliver(envelope: Envelope) -> None:
            def reply(answer: Any) -> None:
                writer.post(Envelope(envelope.correlation, answer))

            self._sink(IncomingMessage(envelope.message, reply))

        read_messages(conn, peer, deliver)
        writer.stop(1.0)
        self._writers.discard(writer)


class Link(Task):
    """Keep a connection to one peer, and send the messages that are posted.

    Messages that can't be sent are dropped: callers resend those still needed.
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        source: str,
        sink: Callable[[Envelope], None],
    ) -> None:
        super().__init__(f"link {name}", LINK_MAILBOX_SIZE)
        self._peer, self._host, self._port = name, host, port
        self._source, self._sink = source, sink
        self._writer: Writer | None = None
        self._reconnect_at = Instant(0.0)

    def handle(self, batch: list[Envelope | EncodedMessage], now: Instant) -> None:
        """Send messages, connecting first if there is no connection."""
        if self._writer is not None and not self._writer.alive:
            self._writer = None
            emit(PEER_LOST, peer=self._peer)
        if batch and self._writer is None and now >= self._reconnect_at:
            self._connect()
        if self._writer is not None:
            for item in batch:
                self._writer.post(item)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.stop(1.0)

    def _connect(self) -> None:
        """Connect to the peer and start a writer and a reader, if it is reachable."""
        self._reconnect_at = Instant(monotonic() + RECONNECT_INTERVAL)
        try:
            sock = connect(self._host, self._port, self._source)
        except OSError:
            return
        writer = Writer(sock, f"writer {self._peer}")
        writer.start()
        self._writer = writer
        threading.Thread(
            target=self._read, args=(sock, writer), name=self._peer, daemon=True
        ).start()
        emit(PEER_CONNECTED, peer=self._peer)

    def _read(self, sock: socket.socket, writer: Writer) -> None:
        read_messages(sock, self._peer, self._sink)
        writer.stop(1.0)
