"""Look at running gateways and control processes, by their metrics addresses."""

from __future__ import annotations

import sys
from collections import Counter
from typing import Any

import click
import urllib3
from urllib3.exceptions import HTTPError

from ..core.states import ServerCondition
from ..program.answers import to_json
from .exits import Exit
from .options import AS_JSON

ANSWER_WAIT = 3.0
"""Seconds to wait for a process."""


def _ask(address: str, page: str, **fields: str) -> dict[str, Any] | None:
    try:
        answer = urllib3.request(
            "GET",
            f"http://{address}{page}",
            fields=fields,
            retries=False,
            timeout=ANSWER_WAIT,
        )
        return answer.json()
    except (HTTPError, ValueError) as exc:
        click.echo(f"{address}: no answer ({type(exc).__name__})", err=True)
        return None


@click.command()
@click.argument("addresses", nargs=-1, required=True)
@AS_JSON
def fleet(addresses: tuple[str, ...], as_json: bool) -> None:
    """Tell what gateways and control processes know, each at its metrics address.

    Example: snipecart fleet 10.1.0.10:7722 10.1.0.7:7722
    """
    told = {address: _ask(address, "/status") for address in addresses}
    if as_json:
        click.echo(to_json(told).decode())
    for address, value in told.items():
        if value is not None and not as_json:
            click.echo("\n".join(_describe(address, value)))
    if None in told.values():
        sys.exit(Exit.UNREACHABLE)


def _describe(address: str, told: dict[str, Any]) -> list[str]:
    if told.get("role") == "entry":
        return _describe_gateway(address, told["sync"], told["placing"])
    if told.get("role") == "control":
        return _describe_control(address, told["log"], told["discovery"])
    return [f"{address}: {told.get('reason')} {told.get('detail', '')}"]


def _describe_gateway(
    address: str, sync: dict[str, Any], placing: dict[str, Any]
) -> list[str]:
    ready = "ready" if sync["ready"] else "not ready"
    zones = ", ".join(placing["evacuated"]) or "none"
    found = Counter(item["observed"] for item in placing["servers"])
    lines = [
        f"{address}: entry, {ready}, routing {placing['routing_version']},"
        f" evacuated {zones}, follows {sync['followed'] or 'nobody'},"
        f" silent {len(sync['silent'])}, one of {placing['gateways']} gateways",
        "  servers: " + ", ".join(f"{count} {name}" for name, count in found.items()),
    ]
    for budget in placing["budgets"]:
        lines.append(
            f"  retries of {budget['service']}: {budget['repeats']} for"
            f" {budget['firsts']} requests"
        )
    for server in placing["servers"]:
        if server["observed"] not in (ServerCondition.SOUND, ServerCondition.COLD):
            lines.append(f"  {_describe_server(server)}")
    return lines


def _describe_server(server: dict[str, Any]) -> str:
    return (
        f"{server['instance']} of {server['service']} in {server['zone']}:"
        f" {server['state']}, {server['observed']}, load {server['load']} of"
        f" {server['slots']}, report {server['report_ms']} ms old"
    )


def _describe_control(
    address: str, log: dict[str, Any], discovery: dict[str, Any]
) -> list[str]:
    zones = ", ".join(discovery["evacuated"]) or "none"
    touch = "in contact" if discovery["in_contact"] else "without a majority"
    lines = [
        f"{address}: control, {log['role']}, term {log['term']}, committed"
        f" {log['commit']}, routing {discovery['routing_version']}, evacuated {zones},"
        f" {touch}, voters {len(log['voters'])}",
    ]
    for service in discovery["services"]:
        states = ", ".join(f"{n} {state}" for state, n in service["states"].items())
        lines.append(f"  {service['service']}: {states}")
    for item in discovery["gateways"]:
        lines.append(
            f"  gateway {item['gateway']} in {item['zone']}: {item['state']},"
            f" heard {item['silent_ms']} ms ago"
        )
    return lines


@click.command()
@click.argument("address")
@click.argument("host")
@click.argument("path")
@click.option("--object", "key", default="", help="Object that the request concerns.")
@AS_JSON
def where(address: str, host: str, path: str, key: str, as_json: bool) -> None:
    """Tell where a gateway would send a request now, or why it would refuse it.

    Example: snipecart where 10.1.0.10:7722 shop.example /look/x --object 7
    """
    told = _ask(address, "/where", host=host, path=path, object=key)
    if told is None:
        sys.exit(Exit.UNREACHABLE)
    if as_json:
        click.echo(to_json(told).decode())
        return
    if "servers" not in told:
        click.echo(f"refused: {told}", err=True)
        sys.exit(Exit.FAILED)
    end = told["instance"] or f"refused: {told['refusal']} {told['detail']}".rstrip()
    click.echo(f"route {told['route'] or 'none'}, {end}")
    for server in told["servers"]:
        click.echo(f"  {_describe_server(server)}")
