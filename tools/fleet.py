"""Write the settings of a small fleet on loopback addresses."""

from __future__ import annotations

import json
from pathlib import Path

import click

RANKS = ("urgent", "normal", "deferrable")


def write_settings(path: Path, value: object) -> None:
    """Write a value to a file as JSON."""
    path.write_text(json.dumps(value, indent=2))


def write_control_settings(
    folder: Path, net: str, count: int
) -> list[dict[str, object]]:
    """Write the settings of the control processes, and return their peers."""
    peers = [
        {
            "vm": f"control-{number}",
            "host": f"{net}.1.{number}",
            "port": 7100,
            "http_port": 7180,
        }
        for number in range(1, count + 1)
    ]
    for peer in peers:
        vm = str(peer["vm"])
        settings = {
            "vm": vm,
            "host": peer["host"],
            "peer_port": 7100,
            "http_port": 7180,
            "data": str(folder / "data" / vm),
            "peers": peers,
        }
        write_settings(folder / f"{vm}.json", settings)
    return peers


def write_entry_settings(
    folder: Path, net: str, count: int, text: dict, peers: list, common_settings: dict
) -> list[str]:
    """Write the settings of the entry processes, and return their HTTP addresses.

    The processes are spread over the availability zones.
    """
    zones = [
        (region["name"], zone) for region in text["regions"] for zone in region["zones"]
    ]
    addresses = []
    for number in range(1, count + 1):
        region, zone = zones[(number - 1) * len(zones) // count % len(zones)]
        if count <= len(zones):
            region, zone = zones[(number - 1) * 2 % len(zones)]
        host = f"{net}.2.{number}"
        ports = {rank: 7201 + place for place, rank in enumerate(RANKS)}
        settings = {
            "vm": f"entry-{number}",
            "host": host,
            "region": region,
            "zone": zone,
            "http_port": 7280,
            "listeners": [
                {"rank": rank, "port": port, "threads": 32}
                for rank, port in ports.items()
            ],
            "control": peers,
            **common_settings,
        }
        write_settings(folder / f"entry-{number}.json", settings)
        addresses.append(f"{host}:7280")
    return addresses


def write_standin_settings(
    folder: Path, net: str, text: dict, entries: list[str], service_ms: float, part: int
) -> None:
    """Write the settings of one stand-in process for each service.

    It simulates the backend servers of the service, of which one in ``part`` is kept
    in each availability zone, and at least one.
    """
    regions = {
        zone: region["name"] for region in text["regions"] for zone in region["zones"]
    }
    for network, service in enumerate(text["services"], 3):
        number = 0
        endpoints = []
        for place in service["places"]:
            for _ in range(max(1, place["endpoints"] // part)):
                number += 1
                endpoints.append(
                    {
                        "host": f"{net}.{network}.{number}",
                        "port": 8080,
                        "zone": place["zone"],
                        "region": regions[place["zone"]],
                    }
                )
        settings = {
            "service": service["name"],
            "endpoints": endpoints,
            "slots": service["places"][0]["slots"],
            "service_ms": service_ms,
            "entries": entries,
        }
        write_settings(folder / f"standin-{service['name']}.json", settings)


@click.command()
@click.option("--folder", type=click.Path(path_type=Path), required=True)
@click.option("--text", "text_file", type=click.Path(path_type=Path), required=True)
@click.option("--net", default="127.20", help="First two numbers of all addresses.")
@click.option("--controls", default=3)
@click.option("--entries", default=3)
@click.option("--service-ms", default=20.0)
@click.option("--part", default=1, help="Divide the number of endpoints by this.")
@click.option("--drain-s", default=6.0)
@click.option("--cache-s", default=5.0)
@click.option("--admission", default="floors")
@click.option("--routing", default="shares")
@click.option("--retry", default="budget")
def main(
    folder: Path,
    text_file: Path,
    net: str,
    controls: int,
    entries: int,
    service_ms: float,
    part: int,
    drain_s: float,
    cache_s: float,
    admission: str,
    routing: str,
    retry: str,
) -> None:
    """Write the settings of all processes of a fleet into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    text = json.loads(text_file.read_text())
    peers = write_control_settings(folder, net, controls)
    policies = {"admission": admission, "routing": routing, "retry": retry}
    common_settings = {
        "drain_s": drain_s,
        "lookup_cache_s": cache_s,
        "policies": policies,
    }
    addresses = write_entry_settings(folder, net, entries, text, peers, common_settings)
    write_standin_settings(folder, net, text, addresses, service_ms, part)
    streams = []
    for service in text["services"]:
        for kind in service["kinds"]:
            keyed = not kind["idempotent"]
            rate = 20 if kind["rank"] == "urgent" else 5
            streams.append(
                {
                    "service": service["name"],
                    "kind": kind["name"],
                    "rank": kind["rank"],
                    "rate": rate,
                    "keyed": keyed,
                }
            )
    plan = {"entries": addresses, "seconds": 10, "streams": streams}
    write_settings(folder / "plan.json", plan)


if __name__ == "__main__":
    main()
