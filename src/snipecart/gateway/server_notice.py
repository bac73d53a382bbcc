"""Decode what a backend server says about itself in the headers of an answer."""

from __future__ import annotations

import http.client
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from ..core.numbers import parse_decimal
from ..core.registry import Registry
from .metrics import MALFORMED_NOTICES

if TYPE_CHECKING:
    from ..upstream.answers import HttpAnswer
    from .request import HeaderNames

RETRY_AFTER = "Retry-After"
"""Header with the seconds for which an unavailable server wants no requests."""

MAX_PAUSE_SECONDS = 60.0
"""Longest pause that is kept in one go; a server may ask again after it."""

MIN_RATE_LIMIT = 0.25
"""Requests per second that a server gets at least, whatever limit it names.

A limit is lifted by an answer without it, so some requests are needed.
"""


@dataclass(frozen=True)
class ServerNotice:
    """Store what a backend server asks of gateways, as of one answer."""

    leaving: bool = False
    """Whether it will end soon and wants no new requests."""
    pause_s: float = 0.0
    """Seconds for which it wants no requests from this gateway."""
    rate_limit: float | None = None
    """Requests per second that it accepts from all gateways; None for no limit."""


NO_NOTICE = ServerNotice()

NoticeReader = Callable[[ServerNotice, str], ServerNotice]

NOTICE_READERS: Registry[str, NoticeReader] = Registry("readers of server notices")
"""Readers of the value of one header each; they raise ValueError if it is malformed."""


def read_notice(answer: HttpAnswer, names: HeaderNames) -> ServerNotice:
    """Return the notice in the headers of an answer.

    A malformed or repeated header is counted, and costs no other one.
    """
    headers = {"leaving": names.leaving, "rate_limit": names.rate_limit}
    if answer.status == http.client.SERVICE_UNAVAILABLE:
        headers["pause"] = RETRY_AFTER
    notice = NO_NOTICE
    for field, name in headers.items():
        values = answer.header_values(name)
        try:
            if len(values) > 1:
                raise ValueError("repeated")
            notice = NOTICE_READERS.get(field)(notice, *values) if values else notice
        except ValueError:
            MALFORMED_NOTICES.labels(field).inc()
    return notice


@NOTICE_READERS.register("leaving")
def read_leaving(notice: ServerNotice, value: str) -> ServerNotice:
    """Read the flag of a server that leaves."""
    if value.strip() not in {"0", "1"}:
        raise ValueError(value)
    return replace(notice, leaving=value.strip() == "1")


@NOTICE_READERS.register("pause")
def read_pause(notice: ServerNotice, value: str) -> ServerNotice:
    """Read the pause that a server asks for."""
    return replace(notice, pause_s=min(MAX_PAUSE_SECONDS, _decimal(value)))


@NOTICE_READERS.register("rate_limit")
def read_rate_limit(notice: ServerNotice, value: str) -> ServerNotice:
    """Read the rate that a server accepts from all gateways together."""
    return replace(notice, rate_limit=max(MIN_RATE_LIMIT, _decimal(value)))


def _decimal(value: str) -> float:
    """Return a plain decimal number; raise ValueError for anything else."""
    number = parse_decimal(value.strip())
    if number is None:
        raise ValueError(value)
    return number
