"""Show that a tenant's burst in an accepted manifest ends one leader after the other.

The manifest limits a tenant. A later version, which is valid and acknowledged, raises
the burst to the largest number that JSON programs know, for want of a limit on it.
"""

from __future__ import annotations

import asyncio
import http.client
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from ..standins2.clients import Client
from ..standins2.endpoints import Endpoint
from ..standins2.fleet import BROKEN_STATUS
from ..standins2.fleet import CONTROL
from ..standins2.fleet import CaseFailed
from ..standins2.fleet import Record
from ..standins2.fleet import make_manifest
from ..standins2.fleet import running_fleet

if TYPE_CHECKING:
    from ..standins2.fleet import Fleet

SERVICE = "tesoreria"

BOUNDS = ("quota_window=5s", "quota_overage=0.1", "quota_slack=20")
"""Bounds of ``demands/amtv-tableros-grown.toml`` beside those of the small sites."""

KEY = "k-4f1d0c6a"
RATE_PER_S, BURST, USUAL_CHANGE = 10, 20, 40
UNLIMITED_BURST = sys.float_info.max

RESTART_SECONDS = 0.5
LOAD_SECONDS = 40.0
READ_SECONDS = 6.0
"""Time for which the manifest is read at the end; ``connectivity_window`` is 3 s."""

MAX_ENDS = 3
"""Ends by itself of one machine's program from which it counts."""


def make_tenants(burst: float) -> dict[str, Any]:
    """Return the field of a manifest that lists the tenant."""
    tenant = {"name": "comite", "api_keys": [KEY]}
    return {"tenants": [{**tenant, "rate_per_s": RATE_PER_S, "burst": burst}]}


async def keep_running(fleet: Fleet, record: Record, ends: dict[str, int]) -> None:
    """Start programs again that have ended, as the platform does."""
    while True:
        for name, process in list(fleet.processes.items()):
            if process.poll() is not None:
                ends[name] = ends.get(name, 0) + 1
                record.write(f"{name} has ended by itself: {process.returncode}")
                await asyncio.sleep(RESTART_SECONDS)
                fleet.start(name, bootstrap=False)
        await asyncio.sleep(0.1)


def read_manifest(fleet: Fleet) -> bytes:
    """Return the manifest from any control process; empty if none answers with it."""
    for name in fleet.controls():
        address = f"{fleet.host(name)}:{CONTROL}"
        for _ in range(3):
            conn = http.client.HTTPConnection(address, timeout=1.0)
            try:
                conn.request("GET", "/-/Config.Get")
                answer = conn.getresponse()
                body = answer.read()
            except (OSError, http.client.HTTPException):
                break
            finally:
                conn.close()
            if answer.status == 200:
                return body
            if answer.status != 307:
                break
            address = answer.headers["Location"].split("/")[2]
    return b""


async def send_load(fleet: Fleet, record: Record, seconds: float) -> list[int]:
    """Send requests of the tenant within its limit; return their statuses."""
    client, loop = Client(fleet.host("edge-1"), record), asyncio.get_running_loop()
    end, statuses = loop.time() + seconds, []
    while loop.time() < end:
        answer = await client.send(
            f"q{id(statuses)}-{len(statuses)}",
            f"/{SERVICE}/unsafe/a",
            headers=(f"Authorization: Bearer {KEY}",),
        )
        statuses.append(answer.status)
        await asyncio.sleep(0.2)
    client.close()
    return statuses


async def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    """Raise the burst, and return whether the rule was broken."""
    endpoint = Endpoint(fleet, record, 1, SERVICE, "palermo-a")
    await endpoint.start()
    await asyncio.to_thread(fleet.await_ready, ["edge-1"])
    await asyncio.sleep(3.0)
    if set(await send_load(fleet, record, 2.0)) != {200}:
        raise CaseFailed("the tenant isn't served within its limit")
    ends: dict[str, int] = {}
    platform = asyncio.create_task(keep_running(fleet, record, ends))
    burst = UNLIMITED_BURST if trouble else USUAL_CHANGE
    order = make_manifest(2, (SERVICE,), **make_tenants(burst))
    status = await asyncio.to_thread(fleet.order, "POST", "/-/Config.Replace", order)
    record.write(f"manifest 2 answered {status}: burst {burst}")
    if status != 200:
        return False
    statuses = await send_load(fleet, record, LOAD_SECONDS)
    loop = asyncio.get_running_loop()
    until, read = loop.time() + READ_SECONDS, []
    while loop.time() < until:
        read.append(await asyncio.to_thread(read_manifest, fleet) == order)
        await asyncio.sleep(0.3)
    platform.cancel()
    endpoint.close()
    often = [name for name, number in ends.items() if number >= MAX_ENDS]
    record.write(
        f"ends by themselves {ends}; requests {len(statuses)}, served"
        f" {statuses.count(200)}; manifest read back {sum(read)} of {len(read)} times"
    )
    return len([name for name in often if name.startswith("core")]) >= fleet.cores / 2


def main() -> int:
    """Return the exit status of the case, which ``run.sh`` translates."""
    record = Record(Path(__file__).with_name("record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with running_fleet(
            record,
            1,
            (SERVICE,),
            manifest=make_tenants(BURST),
            bounds=BOUNDS,
            contracts=("tenants", "quota"),
        ) as fleet:
            broken = asyncio.run(play(fleet, record, trouble))
    except (CaseFailed, OSError) as exc:
        record.write(f"case couldn't run: {exc!r}")
        return 2
    return BROKEN_STATUS if broken else 0


if __name__ == "__main__":
    sys.exit(main())
