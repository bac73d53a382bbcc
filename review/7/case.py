"""Show that taking away the last tenant lets everybody in, with its key or another.

The manifest lists one tenant with one key. The next version lists no tenant any more.
"""

from __future__ import annotations

import asyncio
import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from ..standins2.clients import Client
from ..standins2.endpoints import Endpoint
from ..standins2.fleet import BROKEN_STATUS
from ..standins2.fleet import CaseFailed
from ..standins2.fleet import Record
from ..standins2.fleet import make_manifest
from ..standins2.fleet import running_fleet

if TYPE_CHECKING:
    from ..standins2.fleet import Fleet

SERVICE = "tesoreria"

BOUNDS = (
    "strict_revoke=true",
    "revoke=5000ms",
    "quota_window=5s",
    "quota_overage=0.1",
    "quota_slack=20",
)
"""Bounds of ``demands/amtv-tableros-grown.toml`` beside those of the small sites."""

REVOKE_SECONDS = 5.0
MARGIN_SECONDS = 1.0
"""Time beyond the bound that the case waits."""

KEY, UNKNOWN_KEY = "k-4f1d0c6a", "k-never-listed"

KEPT_TENANT = {"name": "otra-colonia", "api_keys": ["k-other"]}


@dataclass(frozen=True)
class Sent:
    """Store a request that was sent, and its status."""

    request_id: str
    status: int
    after_s: float
    """Time from the ack of the second manifest to the sending; below 0 before it."""


def make_tenants(*tenants: dict[str, Any]) -> dict[str, Any]:
    """Return the field of a manifest that lists tenants."""
    return {"tenants": list(tenants)}


async def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    """Take the tenant away and return whether its key still admits requests."""
    endpoint = Endpoint(fleet, record, 1, SERVICE, "palermo-a")
    await endpoint.start()
    await asyncio.to_thread(fleet.await_ready, ["edge-1"])
    await asyncio.sleep(3.0)
    client, loop = Client(fleet.host("edge-1"), record), asyncio.get_running_loop()
    sent: list[Sent] = []
    acked_at = float("inf")

    async def send(key: str) -> None:
        request_id, began = f"q{len(sent)}", loop.time()
        record.write(f"{request_id} carries {key}")
        answer = await client.send(
            request_id,
            f"/{SERVICE}/unsafe/a",
            headers=(f"Authorization: Bearer {key}", "Tenant: chosen-by-client"),
        )
        sent.append(Sent(request_id, answer.status, began - acked_at))

    for _ in range(5):
        await send(KEY)
        await asyncio.sleep(0.3)
    if any(item.status != 200 for item in sent):
        raise CaseFailed("the key admits no request while it is listed")
    # Without the disruption, another tenant stays when this one is taken away.
    left = make_tenants() if trouble else make_tenants(KEPT_TENANT)
    order = make_manifest(2, (SERVICE,), **left)
    status = await asyncio.to_thread(fleet.order, "POST", "/-/Config.Replace", order)
    record.write(f"manifest 2 answered {status}: {left}")
    if status != 200:
        return False
    acked_at = loop.time()
    await asyncio.sleep(REVOKE_SECONDS + MARGIN_SECONDS)
    for key in (KEY, KEY, KEY, UNKNOWN_KEY):
        await send(key)
        await asyncio.sleep(0.3)
    client.close()
    endpoint.close()
    broken = [
        item
        for item in sent
        if item.after_s > REVOKE_SECONDS and item.request_id in endpoint.runs
    ]
    for item in broken:
        record.write(f"BROKEN {item.request_id} ran, sent {item.after_s:.1f} s later")
    record.write(
        f"requests {len(sent)}, runs {len(endpoint.runs)}, broken {len(broken)}"
    )
    return bool(broken)


def main() -> int:
    """Return the exit status of the case, which ``run.sh`` translates."""
    record = Record(Path(__file__).with_name("record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    tenants = make_tenants({"name": "comite", "api_keys": [KEY]})
    if not trouble:
        tenants["tenants"].append(KEPT_TENANT)
    try:
        with running_fleet(
            record,
            1,
            (SERVICE,),
            manifest=tenants,
            bounds=BOUNDS,
            contracts=("tenants",),
        ) as fleet:
            broken = asyncio.run(play(fleet, record, trouble))
    except (CaseFailed, OSError) as exc:
        record.write(f"case couldn't run: {exc!r}")
        return 2
    return BROKEN_STATUS if broken else 0


if __name__ == "__main__":
    sys.exit(main())
