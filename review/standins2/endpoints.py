"""Run endpoints that report themselves and answer requests, as the pages tell."""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .fleet import Fleet
    from .fleet import Record

HEARTBEAT_SECONDS = 1.5

ENDPOINT_PORT = 9000


@dataclass(frozen=True)
class Request:
    """Store a request as an endpoint received it."""

    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Return the client's id of the request."""
        return self.headers.get("request-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Return the next request of a connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rest = head.split("\r\n")
    pairs = [item.partition(":") for item in rest if item]
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    size = int(headers.get("content-length", "0"))
    return Request(line, headers, await reader.readexactly(size))


class Endpoint:
    """Answer requests in a number of slots; reject those that find the queue full."""

    def __init__(
        self,
        fleet: Fleet,
        record: Record,
        number: int,
        service: str,
        zone: str,
        *,
        slots: int = 9,
        queue: int = 27,
        work_s: float = 0.05,
        address: int = 0,
    ) -> None:
        self.fleet, self.record = fleet, record
        self.id, self.service, self.zone = f"i-{number}", service, zone
        self.host = f"{fleet.net}.3.{address or number}"
        self.state = "ready"
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.runs: list[str] = []
        """Ids of the requests that it began to work on."""
        self.answer_bytes = 1500
        self._held = 0
        self._free_slots = asyncio.Semaphore(slots)
        self._born, self._sequence = int(time.time() * 1000), 0
        self._tasks: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, first_report_s: float = 0.0) -> None:
        """Listen, and report until the endpoint is closed."""
        self._server = await asyncio.start_server(self._serve, self.host, ENDPOINT_PORT)
        self._tasks.append(asyncio.create_task(self._report_often(first_report_s)))

    def close(self) -> None:
        """Stop reporting and listening, and close all connections."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _report_often(self, first_report_s: float) -> None:
        await asyncio.sleep(first_report_s)
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def report(self) -> bool:
        """Report the state to any control process; return whether it was acknowledged.

        Like every caller, it picks among them at random.
        """
        self._sequence += 1
        info = {
            "backend": self.service,
            "version": "v1",
            "zone": self.zone,
            "slots": self.slots,
        }
        status = {
            "state": self.state,
            "sequence": self._sequence,
            "cold_remaining": "0ms",
        }
        fields = {"address": f"{self.host}:{ENDPOINT_PORT}", "born": self._born}
        body = json.dumps({**fields, "info": info, "status": status}).encode()
        path = f"/-/Instances.Heartbeat/{self.id}"
        answered = await asyncio.to_thread(self.fleet.order, "POST", path, body, 1)
        return answered == 200

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                request = await read_request(reader)
                await self.handle(request, writer)
        self._writers.discard(writer)
        writer.close()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run or reject one request, and answer it."""
        if request.headers.get("expect-instance") != self.id:
            await self.answer(request, writer, "421 Misdirected Request", rejects=True)
        elif self._held >= self.slots + self.queue:
            await self.answer(request, writer, "503 Service Unavailable", rejects=True)
        else:
            self._held += 1
            try:
                async with self._free_slots:
                    await self.run(request)
            finally:
                self._held -= 1
            await self.answer(request, writer, "200 OK")

    async def run(self, request: Request) -> None:
        """Work on a request."""
        self.runs.append(request.id)
        names = ("authorization", "tenant")
        more = [
            f"{name}: {request.headers[name]}"
            for name in names
            if name in request.headers
        ]
        self.record.write(" ".join([f"{self.id} runs {request.id}", *more]))
        await asyncio.sleep(self.work_s)

    def make_answer(self, request: Request, status: str, *, rejects: bool) -> bytes:
        """Return a whole answer."""
        body = b"" if rejects else b"x" * self.answer_bytes
        waiting = max(0, self._held - self.slots)
        load = f"{min(self._held, self.slots)},{waiting},{self.slots}"
        lines = [
            f"HTTP/1.1 {status}",
            *(["Not-Executed: 1"] if rejects else []),
            f"Server-Load: {load}",
            f"Request-Id: {request.id}",
            f"Server-Signature: {self.id}.{request.id}.{status[:3]}",
            f"Content-Length: {len(body)}",
        ]
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def answer(
        self,
        request: Request,
        writer: asyncio.StreamWriter,
        status: str,
        *,
        rejects: bool = False,
    ) -> None:
        """Send an answer."""
        writer.write(self.make_answer(request, status, rejects=rejects))
        await writer.drain()
        self.record.write(f"{self.id} answers {request.id} with {status[:3]}")
