"""Show the status of gateways and control processes, by their metrics addresses."""

from __future__ import annotations

import sys
from collections import Counter
from typing import Any

import click
from urllib3.exceptions import HTTPError

from ..core.states import ServerCondition
from ..messages.placement import REVISION_BITS
from ..program.answers import to_json
from ..upstream.status_line import StrictPoolManager
from .exits import Exit
from .options import AS_JSON
from .quorum import describe_quorum

ANSWER_TIMEOUT = 3.0
"""Seconds to wait for the answer of a process."""

SHOWN_BUSY_FRACTION = 0.4
"""Fraction of servers without a free slot from which gateways may reject requests."""


def _fetch_page(address: str, page: str, **fields: str) -> dict[str, Any] | None:
    try:
        answer = StrictPoolManager().request(
            "GET",
            f"http://{address}{page}",
            fields=fields,
            retries=False,
            timeout=ANSWER_TIMEOUT,
        )
        return answer.json()
    except (HTTPError, ValueError) as exc:
        click.echo(
            f"{address}: no valid answer, check that it is a metrics address"
            f" ({type(exc).__name__})",
            err=True,
        )
        return None


@click.command()
@click.argument("addresses", nargs=-1, required=True)
@AS_JSON
def fleet(addresses: tuple[str, ...], as_json: bool) -> None:
    """Show the status of gateways and control processes, by their metrics addresses.

    Example: snipecart fleet 10.1.0.10:7722 10.1.0.7:7722
    """
    statuses = {address: _fetch_page(address, "/status") for address in addresses}
    if as_json:
        click.echo(to_json(statuses).decode())
    for address, status in statuses.items():
        if status is not None and not as_json:
            click.echo("\n".join(_describe_process(address, status)))
    if None in statuses.values():
        sys.exit(Exit.UNREACHABLE)


def _describe_process(address: str, status: dict[str, Any]) -> list[str]:
    if status.get("role") == "entry":
        return _describe_gateway(address, status["sync"], status["placing"])
    if status.get("role") == "control":
        return _describe_control(address, status["log"], status["discovery"])
    return [f"{address}: {status.get('reason')} {status.get('detail', '')}"]


def _describe_gateway(
    address: str, sync: dict[str, Any], balancing: dict[str, Any]
) -> list[str]:
    ready = "ready" if sync["ready"] else "not ready"
    zones = ", ".join(balancing["evacuated"]) or "none"
    counts = Counter(item["observed"] for item in balancing["servers"])
    lines = [
        f"{address}: entry, {ready}, routing table {balancing['routing_version']},"
        f" evacuated {zones}, follows {sync['followed'] or 'nobody'},"
        f" {len(sync['silent'])} control processes silent,"
        f" one of {balancing['gateways']} gateways",
        "  servers: " + ", ".join(f"{count} {name}" for name, count in counts.items()),
    ]
    if balancing.get("keys_required", balancing.get("organisations")):
        lines.append(f"  {_describe_organisations(sync, balancing)}")
    if balancing.get("plan"):
        number = describe_plan(balancing["plan"])
        lines.append(f"  plan {number}: {balancing['planned_objects']} objects in use")
    if sync.get("quotas"):
        leader = sync["quota_leader"] or "nobody"
        lines.append(f"  limits of organisations are granted by {leader}")
    for item in sync.get("quotas", ()):
        lines.append(
            f"  {item['organisation']}: {item['demand_per_s']:g} requests/s here,"
            f" {item['leased_per_s']:g} leased, {item['tokens']} tokens"
        )
    for budget in balancing["budgets"]:
        lines.append(
            f"  retries of {budget['service']}: {budget['repeats']} for"
            f" {budget['firsts']} requests"
        )
    for load in balancing.get("service_loads", ()):
        if load["busy"] >= SHOWN_BUSY_FRACTION:
            lines.append(
                f"  {load['service']} in {load['region']}: {load['busy']:.0%} of"
                " servers have no free slot"
            )
    for server in balancing["servers"]:
        is_sound = server["observed"] in (ServerCondition.SOUND, ServerCondition.COLD)
        if not is_sound or server.get("accepted_per_s") is not None:
            lines.append(f"  {_describe_server(server)}")
    return lines


def _describe_organisations(sync: dict[str, Any], balancing: dict[str, Any]) -> str:
    text = f"organisations: {balancing['organisations']}"
    if not sync.get("key_lease_ms"):
        return f"{text}, API keys admitted without a lease"
    if sync["proof_ms"] < 0:
        return f"{text}, routing table never proved current, API keys not admitted"
    state = "admitted" if sync["proof_ms"] <= sync["key_lease_ms"] else "not admitted"
    return (
        f"{text}, routing table proved current {sync['proof_ms']} ms ago,"
        f" lease {sync['key_lease_ms']} ms, API keys {state}"
    )


def _describe_server(server: dict[str, Any]) -> str:
    text = (
        f"{server['instance']} of {server['service']} in {server['zone']}:"
        f" {server['state']}, {server['observed']}, load {server['load']} of"
        f" {server['slots']} slots, load report {server['report_ms']} ms old"
    )
    if server.get("paused_ms"):
        text += f", wants nothing for {server['paused_ms']} ms"
    if server.get("accepted_per_s") is not None:
        text += (
            f", accepts {server['accepted_per_s']:g} requests/s in all,"
            f" {server['leased_per_s']:g} of them from here"
        )
    return text


def describe_plan(number: int) -> str:
    """Return a plan number as its term and revision."""
    return f"{number >> REVISION_BITS}.{number & ((1 << REVISION_BITS) - 1)}"


def describe_placement(placement: dict[str, Any]) -> str:
    """Return the line about the plan that a control process leads or keeps."""
    text = (
        f"plan {describe_plan(placement['plan'])}: {placement['objects']} objects of"
        f" {', '.join(placement['services']) or 'no service'}"
    )
    if not placement["leads"]:
        return text
    return (
        f"{text}, {placement['moving']} moving, busiest server"
        f" {placement['busiest']:.2f} of the mean, led here"
    )


def _describe_control(
    address: str, log: dict[str, Any], discovery: dict[str, Any]
) -> list[str]:
    zones = ", ".join(discovery["evacuated"]) or "none"
    contact = (
        "in contact with a majority"
        if discovery["in_contact"]
        else "not in contact with a majority"
    )
    lines = [
        f"{address}: control, {log['role']}, term {log['term']}, committed"
        f" {log['commit']}, routing table {discovery['routing_version']},"
        f" evacuated {zones},"
        f" {contact}, voters {len(log['voters'])}",
        *(f"  {line}" for line in describe_quorum(log)),
    ]
    placement = discovery.get("placement", {})
    if placement.get("plan"):
        lines.append(f"  {describe_placement(placement)}")
    for item in log.get("quotas", ()):
        lines.append(
            f"  organisation {item['organisation']}: limit {item['limit_per_s']:g}"
            f" requests/s, demand {item['demand_per_s']:g} at {item['gateways']}"
            f" gateways, {item['leased_per_s']:g} leased, {item['tokens']} tokens left"
        )
    for service in discovery["services"]:
        states = ", ".join(f"{n} {state}" for state, n in service["states"].items())
        lines.append(f"  {service['service']}: {states}")
    for item in discovery["gateways"]:
        lines.append(
            f"  gateway {item['gateway']} in {item['zone']}: {item['state']},"
            f" last heard {item['silent_ms']} ms ago"
        )
    return lines


@click.command()
@click.argument("address")
@click.argument("host")
@click.argument("path")
@click.option("--object", "key", default="", help="Object key of the request.")
@AS_JSON
def where(address: str, host: str, path: str, key: str, as_json: bool) -> None:
    """Show where a gateway would send a request now, or why it would refuse it.

    Example: snipecart where 10.1.0.10:7722 shop.example /look/x --object 7
    """
    answer = _fetch_page(address, "/where", host=host, path=path, object=key)
    if answer is None:
        sys.exit(Exit.UNREACHABLE)
    if as_json:
        click.echo(to_json(answer).decode())
        return
    if "servers" not in answer:
        click.echo(f"refused: {answer}", err=True)
        sys.exit(Exit.FAILED)
    decision = (
        answer["instance"]
        or f"refused: {answer['refusal']} {answer['detail']}".rstrip()
    )
    click.echo(f"route {answer['route'] or 'none'}, {decision}")
    for server in answer["servers"]:
        click.echo(f"  {_describe_server(server)}")
