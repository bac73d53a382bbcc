"""Record which headers of a request are repeated.

cheroot keeps the last value of a repeated header, so that a receiver that keeps the
first one would see another value.
"""

from __future__ import annotations

from typing import Any

from cheroot.server import HTTPRequest


class HeaderFields(dict[bytes, bytes]):
    """Store the headers of a request, and the names of those set more than once."""

    def __init__(self) -> None:
        super().__init__()
        self.repeated: set[bytes] = set()

    def __setitem__(self, name: bytes, value: bytes) -> None:
        """Set a header; also called for each further line of a folded one."""
        if name in self:
            self.repeated.add(name)
        super().__setitem__(name, value)


class ClientRequest(HTTPRequest):
    """Represent a request that records its repeated headers."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.inheaders = HeaderFields()


def is_repeated(request: HTTPRequest, name: str) -> bool:
    """Return whether a request has a header more than once; names have any case."""
    return name.title().encode() in request.inheaders.repeated
