"""Simulate what all gateways of a fleet together send to servers that limit a rate."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from concurrent.futures import Future
from random import Random

from snipecart.core.ids import Instant
from snipecart.core.states import SendOutcome
from snipecart.gateway.balancing.messages import SelectServer
from snipecart.gateway.balancing.outcome import record_send
from snipecart.gateway.request import HttpRequest
from snipecart.gateway.request import RoutedRequest
from snipecart.gateway.request import SendResult
from snipecart.gateway.server_notice import ServerNotice
from snipecart.upstream.answers import HttpAnswer
from tests.control.fleet_simulation import FleetSimulation
from tests.gateway.world import make_instance
from tests.gateway.world import make_route
from tests.gateway.world import make_routing

CONTROLS = 3
OBJECTS = 24
OK = HttpAnswer(200, "", (), b"")
SLOTS = 30
WORK_SECONDS = 0.2
SETTLED_SECONDS = 4.0
"""Time after the start by which control processes have every server and gateway."""


class RateSimulation(FleetSimulation):
    """Run a fleet, offer requests to its gateways, and record what servers get."""

    def __init__(self, monkeypatch, gateways, servers, cold_per_s=10.0, seed=1):
        self.rng = Random(seed)
        self.cold_per_s, self.servers = cold_per_s, servers
        self.cold_until = {}
        """End of the cold period of servers, by number."""
        self.cuts = []
        """Sets of VMs that are cut off from all others."""
        self.stopped = set()
        self.arrivals = defaultdict(list)
        """Times at which each server got a request."""
        self.limits = {}
        """Requests per second that servers accept and name in their answers."""
        self.busy = 1.0
        """Requests of the busiest gateway, relative to each of the others."""
        self._number_of_requests = 0
        self._runs = 0
        super().__init__(monkeypatch, CONTROLS, gateways, servers)
        self.peers = tuple(self.gateways[0]._seeds.items())

    def make_routing(self):
        """Return a table of one route, whose service has cold servers."""
        return make_routing(make_route(), cold_per_s=self.cold_per_s)

    def make_instance(self, number, sequence):
        """Return a server, and for how long it stays cold."""
        cold = max(0.0, self.cold_until.get(number, 0.0) - self.now)
        return make_instance(
            number,
            sequence=sequence,
            slots=SLOTS,
            cold=int(cold * 1000),
            region=("north", "south")[number % 2],
            endpoint=f"10.0.{number // 200}.{number % 200}:80",
        )

    def is_connected(self, one, other):
        """Return whether no cut lies between two VMs."""
        return all((one in cut) == (other in cut) for cut in self.cuts)

    def _wake(self, task):
        if task not in self.stopped:
            super()._wake(task)

    def start_cold(self, count, seconds):
        """Add servers that are cold; return their instances."""
        numbers = range(self.servers, self.servers + count)
        self.servers += count
        for number in numbers:
            self.cold_until[number] = self.now + seconds
            self._send_heartbeat(number, 1, number)
        return [make_instance(number).instance for number in numbers]

    def turn_cold(self, seconds):
        """Let all servers become cold; return their instances."""
        for number in range(self.servers):
            self.cold_until[number] = self.now + seconds
        return [make_instance(number).instance for number in range(self.servers)]

    def restart(self, share):
        """Restart some gateways, which forget everything."""
        for at in range(int(share * len(self.gateways))):
            self.stopped.add(self.gateways[at])
            self.after(0.6, self._start_gateway, at)

    def add_gateways(self, count):
        """Start further gateways."""
        for at in range(len(self.gateways), len(self.gateways) + count):
            self.gateways.append(None)
            self._start_gateway(at)

    def stop_gateways(self, share):
        """Kill gateways, which don't come back."""
        for at in range(int(share * len(self.gateways))):
            self.stopped.add(self.gateways[at])

    def _start_gateway(self, at):
        self._runs += 1
        task = self._make_gateway(at, ())
        task._seeds = dict(self.peers)
        task.gateway = type(task.gateway)(
            f"g{at}/{self._runs}",
            *(
                getattr(task.gateway, name)
                for name in ("vm", "region", "zone", "address", "state")
            ),
        )
        task._update_links(())
        self.gateways[at] = task
        self.after(0.0, self._wake, task)

    def offer(self, requests_per_s, seconds):
        """Let clients send requests at random times, and run the fleet meanwhile."""
        until, at = self.now + seconds, self.now
        while True:
            at += self.rng.expovariate(requests_per_s)
            if at >= until:
                break
            self.after(at - self.now, self._send_request)
        self.run(until - self.now)

    def _send_request(self):
        total = len(self.gateways) - 1 + self.busy
        place = self.rng.random() * total
        gateway = self.gateways[int(max(0.0, place - self.busy + 1))]
        if gateway is None or gateway in self.stopped or not gateway.ready:
            return
        self._number_of_requests += 1
        state = gateway._balancer.state
        key = str(self.rng.randrange(OBJECTS))
        req = HttpRequest(
            "GET",
            "/look/x",
            "shop.example",
            (),
            b"",
            f"r{self._number_of_requests}",
            key,
            0,
            self.now,
        )
        route = state.index.find(req.host, req.target)
        routed = RoutedRequest(req, route, 1, Instant(self.now + 1.5))
        selected = self.select(gateway, routed)
        if selected.is_ok():
            self.arrivals[selected.ok.instance].append(self.now)
            self.after(WORK_SECONDS, self._end, state, routed, selected.ok)

    def select(self, gateway, routed):
        """Select a server for a request."""
        fut = Future()
        gateway._balancer.handle([SelectServer(routed, fut)], Instant(self.now))
        return fut.result()

    def _end(self, state, routed, destination):
        notice = ServerNotice(rate_limit=self.limits.get(destination.instance))
        sent = SendResult(SendOutcome.ANSWERED, WORK_SECONDS, OK, None, notice)
        record_send(state, routed, destination, sent, Instant(self.now))

    def most_in(self, instance, seconds, since=0.0):
        """Return the most requests that a server got in any span of time."""
        times = [at for at in self.arrivals[instance] if at >= since]
        return max(
            (bisect_left(times, at + seconds) - number)
            for number, at in enumerate([*times, float("inf")])
        )

    def rate(self, instances, since, until):
        """Return the mean requests per second that a server got."""
        number = sum(
            since <= at < until for name in instances for at in self.arrivals[name]
        )
        return number / len(instances) / (until - since)
