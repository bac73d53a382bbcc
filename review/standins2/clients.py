"""Send requests to edge machines as the pages tell of clients."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .fleet import Record

FRONT = 8161


@dataclass(frozen=True)
class Answer:
    """Store what a client got: a status, or why it got none."""

    status: int
    """0 without a complete answer."""
    detail: str = ""
    signature: str = ""
    closes: bool = False


class Client:
    """Send one request at a time on one connection."""

    def __init__(self, host: str, record: Record) -> None:
        self.host, self.record = host, record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection within the second that clients allow for it."""
        opening = asyncio.open_connection(self.host, FRONT)
        self.reader, self.writer = await asyncio.wait_for(opening, 1.0)

    def is_closed(self) -> bool:
        """Return whether the other side has closed the connection."""
        return self.reader is not None and self.reader.at_eof()

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(
        self,
        request_id: str,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        time_limit_s: float = 3.0,
        headers: tuple[str, ...] = (),
    ) -> Answer:
        """Send a request and return its answer; close the connection without one."""
        try:
            answer = await asyncio.wait_for(
                self._exchange(request_id, path, method, body, time_limit_s, headers),
                time_limit_s,
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as exc:
            answer = Answer(0, type(exc).__name__)
        if answer.closes or not answer.status:
            self.close()
        self.record.write(
            f"client got {answer.status} {answer.detail} for {request_id}"
        )
        return answer

    async def _exchange(
        self,
        request_id: str,
        path: str,
        method: str,
        body: bytes,
        time_limit_s: float,
        headers: tuple[str, ...],
    ) -> Answer:
        if self.writer is None:
            await self.connect()
        more = "".join(f"{line}\r\n" for line in headers)
        head = (
            f"{method} {path} HTTP/1.1\r\n{more}Host: shop.example\r\n"
            f"Request-Id: {request_id}\r\nAffinity-Key: {request_id}\r\n"
            f"Deadline-Ms: {int(time_limit_s * 1000)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.record.write(f"client sends {request_id}: {method} {path}")
        self.writer.write(head.encode() + body)
        await self.writer.drain()
        answer = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rest = answer.split("\r\n")
        pairs = [item.partition(":") for item in rest if item]
        fields = {name.lower(): value.strip() for name, _, value in pairs}
        size = int(fields.get("content-length", "0"))
        await self.reader.readexactly(size)
        _, status, *reason = line.split(" ", 2)
        return Answer(
            int(status),
            "".join(reason),
            fields.get("server-signature", ""),
            fields.get("connection", "").lower() == "close",
        )
