"""Accept only answers whose status line is one that HTTP/1.0 or HTTP/1.1 defines.

The standard library's parser takes ``2_0_0``, ``+200`` and ``0200`` for 200, passes on
600 and 999, and takes any text that begins with ``HTTP/1.`` for a version.
"""

from __future__ import annotations

import http.client
import re

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

MAX_LINE_BYTES = 65_536
"""Limit of a status line; the standard library has the same."""

STATUS_LINE = re.compile(
    rb"(HTTP/1\.[01]) ([1-5][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?\r?\n"
)
"""The space before an empty reason may be missing, as many servers omit it."""


class StatusLineMalformed(http.client.BadStatusLine):
    """Report a status line that doesn't state a version and a status."""


def parse_status_line(line: bytes) -> tuple[str, int, str] | None:
    """Return the version, the status and the reason; None if the line is malformed."""
    match = STATUS_LINE.fullmatch(line)
    if match is None:
        return None
    version, status, reason = match.groups(b"")
    return version.decode("ascii"), int(status), reason.decode("latin-1")


class StrictResponse(http.client.HTTPResponse):
    """Read an answer whose status lines, interim ones included, are well-formed."""

    def _read_status(self) -> tuple[str, int, str]:
        # The standard library has no public way to replace its parser of status lines.
        line = self.fp.readline(MAX_LINE_BYTES + 1)
        if not line:
            raise http.client.RemoteDisconnected("closed without an answer")
        parsed = parse_status_line(line)
        if parsed is None:
            raise StatusLineMalformed(repr(line[:80]))
        return parsed


class StrictConnection(HTTPConnection):
    """Connect to a server and read its answers as StrictResponse."""

    response_class = StrictResponse


class StrictConnectionPool(HTTPConnectionPool):
    """Pool connections whose answers are read as StrictResponse."""

    ConnectionCls = StrictConnection


class StrictPoolManager(urllib3.PoolManager):
    """Pool connections by host; a malformed status line raises ProtocolError."""

    def __init__(self, **kwargs: int) -> None:
        super().__init__(**kwargs)
        self.pool_classes_by_scheme = {"http": StrictConnectionPool}
