"""Compare the policies that divide the rate of cold servers among gateways.

Simulated: the tasks of three control processes and all gateways on a virtual clock.
"""

from __future__ import annotations

import click
import pytest
from tests.control.rate_simulation import SETTLED_SECONDS
from tests.control.rate_simulation import RateSimulation

from snipecart.control.discovery.rate_shares import DIVISION_POLICIES

COLD_PER_S = 2.5
COLD_SERVERS = 12
REQUESTS_PER_GATEWAY = 12
SECONDS = 6.0


def simulate(policy: str, gateways: int, seed: int) -> tuple[int, float]:
    """Return the most requests of a server in a second, and the used part of rates.

    All servers are cold, and one gateway gets ten times the requests of another.
    """
    with pytest.MonkeyPatch.context() as patch:
        fleet = RateSimulation(patch, gateways, COLD_SERVERS, COLD_PER_S, seed)
        for task in fleet.control.values():
            task.rate_shares.policy = policy
        fleet.run(SETTLED_SECONDS)
        fleet.busy = 10.0
        cold = fleet.turn_cold(2 * SECONDS)
        fleet.run(1.6)
        begin = fleet.now
        fleet.offer(gateways * REQUESTS_PER_GATEWAY, SECONDS)
        most = max(fleet.most_in(name, 1.0, begin) for name in cold)
        return most, fleet.rate(cold, begin + 1.0, fleet.now) / COLD_PER_S


@click.command()
@click.option("--seeds", default=3, show_default=True)
@click.argument("gateways", nargs=-1, type=int)
def main(gateways: tuple[int, ...], seeds: int) -> None:
    """Print a line for each policy and number of gateways."""
    for count in gateways or (7, 33, 74, 300):
        for policy in DIVISION_POLICIES:
            runs = [simulate(policy, count, seed) for seed in range(1, seeds + 1)]
            most = max(item[0] for item in runs)
            used = sum(item[1] for item in runs) / len(runs)
            click.echo(f"{policy} {count}: most {most}, used {used:.2f}")


if __name__ == "__main__":
    main()
