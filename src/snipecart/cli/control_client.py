"""Send requests to the control processes over HTTP, and follow the leader."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
from urllib3.exceptions import HTTPError

from ..core.failures import Failure
from ..core.failures import NoQuorum
from ..core.numbers import parse_count
from ..upstream.status_line import StrictPoolManager

if TYPE_CHECKING:
    from collections.abc import Callable

REQUEST_TIMEOUT = 8.0
"""Seconds to wait for the answer to one request."""

MAX_ROUNDS = 8
"""Maximum number of times that all control processes are tried."""

ROUND_INTERVAL = 0.4
"""Seconds between two rounds."""


@dataclass(frozen=True)
class Refused(Failure):
    """Carry a refusal that a control process sent."""

    fields: dict[str, Any] | None = None

    @property
    def reason(self) -> str:
        """Return the reason that the control process sent."""
        return str((self.fields or {}).get("reason", "refused"))


@dataclass(frozen=True)
class Reply:
    """Store a successful answer."""

    body: bytes
    version: int

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


class ControlClient:
    """Send requests to any control process, or to the leader if only it can answer."""

    def __init__(
        self, addresses: tuple[str, ...], pause: Callable[[float], None]
    ) -> None:
        self._addresses = list(addresses)
        self._pool = StrictPoolManager(maxsize=2)
        self._pause = pause

    def request(
        self, method: str, path: str, body: bytes | None = None
    ) -> Result[Reply, Failure]:
        """Return a successful answer, or a typed refusal.

        Try all processes up to MAX_ROUNDS times while each of them is unreachable, not
        the leader, busy or without a quorum. A refusal for another reason is final.
        """
        last: Failure = NoQuorum("no control process answered")
        for round_number in range(MAX_ROUNDS):
            if round_number:
                self._pause(ROUND_INTERVAL)
            for address in list(self._addresses):
                answer = self._request_one(address, method, path, body)
                if answer.is_ok():
                    return answer
                last = answer.error
                if last.reason not in ("not_leader", "no_quorum", "busy"):
                    return answer
                self.prefer(last.detail)
        return Error(last)

    def request_each(self, path: str) -> dict[str, Result[Reply, Failure]]:
        """Return the answer of each control process by its address."""
        return {
            address: self._request_one(address, "GET", path, None)
            for address in self._addresses
        }

    def prefer(self, address: str) -> None:
        """Try an address before the others from now on."""
        if address in self._addresses:
            self._addresses.remove(address)
            self._addresses.insert(0, address)

    def _request_one(
        self, address: str, method: str, path: str, body: bytes | None
    ) -> Result[Reply, Failure]:
        try:
            response = self._pool.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers={"Content-Type": "application/json"},
                retries=False,
                timeout=REQUEST_TIMEOUT,
            )
        except HTTPError as exc:
            return Error(NoQuorum(f"{address}: {exc}"))
        if response.status == 200:
            version = parse_count(response.headers.get("Snipecart-Version", "0"))
            if version is None:
                return Error(NoQuorum(f"{address}: Snipecart-Version is malformed"))
            return Ok(Reply(response.data, version))
        return Error(_parse_refusal(response.data))


def _parse_refusal(body: bytes) -> Refused:
    try:
        fields = json.loads(body)
    except ValueError:
        fields = {}
    if not isinstance(fields, dict):
        fields = {}
    return Refused(str(fields.get("detail", "")), fields)
