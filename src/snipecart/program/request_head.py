"""Reject requests whose head is ambiguous about the body's length or the version.

cheroot takes the last of several ``Content-Length`` headers, ignores
``Transfer-Encoding`` in HTTP/1.0, and reads ``HTTP/+1.0_1`` as version 1.1. Another
server before this one may read such a head differently, and see other requests.
"""

from __future__ import annotations

from typing import Any

from cheroot.server import HeaderReader

from .repeated_headers import ClientRequest

VERSIONS = frozenset({b"HTTP/1.0", b"HTTP/1.1"})

LENGTH_HEADER = b"content-length"
CODING_HEADER = b"transfer-encoding"


class _FramingLines:
    """Read the lines of a head, and collect the values that frame its body."""

    def __init__(self, stream: Any) -> None:
        self._stream = stream
        self.lengths: list[bytes] = []
        self.codings: list[bytes] = []

    def readline(self) -> bytes:
        """Return the next line; raise ValueError if it continues a header."""
        line: bytes = self._stream.readline()
        if line.startswith((b" ", b"\t")):
            raise ValueError("Folded header.")
        name, _, value = line.partition(b":")
        if name.strip().lower() == LENGTH_HEADER:
            self.lengths.append(value.strip(b" \t\r\n"))
        elif name.strip().lower() == CODING_HEADER:
            self.codings.append(value.strip(b" \t\r\n"))
        return line


class FramingHeaderReader(HeaderReader):
    """Read headers; raise ValueError if one is folded or the framing is ambiguous."""

    def __call__(
        self, rfile: Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        lines = _FramingLines(rfile)
        headers: dict[bytes, bytes] = super().__call__(lines, hdict)
        if len(set(lines.lengths)) > 1:
            raise ValueError("Content-Length is ambiguous.")
        if len(lines.codings) > 1 or (lines.codings and lines.lengths):
            raise ValueError("Transfer-Encoding is ambiguous.")
        return headers


class StrictRequest(ClientRequest):
    """Read the head of a request, and reject an ambiguous one with 400."""

    header_reader = FramingHeaderReader()

    def read_request_line(self) -> bool:
        """Read the first line; return False if it was rejected."""
        if not super().read_request_line():
            return False
        if self.request_protocol not in VERSIONS:
            self.simple_response("400 Bad Request", "Malformed version")
            return False
        return True

    def read_request_headers(self) -> bool:
        """Read the headers; return False if they were rejected."""
        if not super().read_request_headers():
            return False
        has_codings = b"Transfer-Encoding" in self.inheaders
        if has_codings and not self.chunked_read:
            self.simple_response("400 Bad Request", "Malformed Transfer-Encoding")
            return False
        return True
