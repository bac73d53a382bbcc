"""Simulate callers, gateways and servers that answer faster for warm objects."""

from __future__ import annotations

import heapq
import math
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from random import Random

from snipecart.core.ids import Instant
from snipecart.core.states import SendOutcome
from snipecart.gateway.balancing.outcome import record_send
from snipecart.gateway.load_report import LoadReport
from snipecart.gateway.request import SendResult
from snipecart.upstream.answers import HttpAnswer
from tests.gateway.world import Gateway
from tests.gateway.world import make_instance
from tests.gateway.world import make_route
from tests.gateway.world import make_routing

COLD, WARM = 0.64, 0.19
"""Service time in seconds for an object that isn't warm and for one that is."""

SERVERS, SLOTS, QUEUE, MAX_WARM = 12, 6, 18, 40
OBJECTS, GATEWAYS, SECONDS = 80, 4, 20.0
LATENCY_TARGET, TIMEOUT = 0.4, 1.0
WARM_CAPACITY = SERVERS * SLOTS / WARM
"""Requests per second that the servers can answer if all objects are warm."""


@dataclass(frozen=True)
class Slowdown:
    """Describe a period in which some servers take ``factor`` times as long."""

    servers: int
    factor: float
    begin: float
    end: float


NO_SLOWDOWN = Slowdown(0, 1.0, 0.0, 0.0)


@dataclass(frozen=True)
class SharedMachines:
    """Describe how the time of work varies on machines that servers share.

    Each is the standard deviation of the logarithm of the ratio to the usual time.
    """

    slow_part: float
    """Of the part that lasts for SLOW_PART_SECONDS."""
    fast_part: float
    """Of the part that changes with each GRID_SECONDS."""

    def paces(self, rng):
        """Return the ratios at each step of a simulation."""
        keep = math.exp(-GRID_SECONDS / SLOW_PART_SECONDS)
        level, ratios = rng.gauss(0.0, self.slow_part), []
        for _ in range(int(2 * SECONDS / GRID_SECONDS)):
            level = keep * level + rng.gauss(
                0.0, self.slow_part * math.sqrt(1 - keep * keep)
            )
            ratios.append(math.exp(level + rng.gauss(0.0, self.fast_part)))
        return ratios


GRID_SECONDS, SLOW_PART_SECONDS = 0.05, 4.0
UNSHARED = SharedMachines(0.0, 0.0)


class SimulatedServer:
    """Simulate a server with slots, a bounded queue and an LRU cache of objects."""

    def __init__(self, max_warm, slowdown=NO_SLOWDOWN, paces=(1.0,)):
        self.paces = paces
        self.max_warm = max_warm
        self.free_at = [0.0] * SLOTS
        self.warm_objects = OrderedDict()
        self.ends = []
        self.slowdown = slowdown

    def pace(self, now):
        """Return how long work takes now, relative to the usual time."""
        return self.paces[int(now / GRID_SECONDS) % len(self.paces)]

    def load(self, now):
        self.ends = [end for end in self.ends if end > now]
        return len(self.ends)

    def run(self, key, now):
        """Return when a request ends, at its timeout at the latest.

        Return None where the queue is full.
        """
        if self.load(now) >= SLOTS + QUEUE:
            return None
        begin = max(now, heapq.heappop(self.free_at))
        is_slowed = self.slowdown.begin <= now < self.slowdown.end
        work = (WARM if key in self.warm_objects else COLD) * (
            self.slowdown.factor if is_slowed else 1.0
        )
        end = min(begin + work * self.pace(begin), now + TIMEOUT)
        heapq.heappush(self.free_at, max(begin, end))
        self.warm_objects[key] = True
        self.warm_objects.move_to_end(key)
        if len(self.warm_objects) > self.max_warm:
            self.warm_objects.popitem(last=False)
        self.ends.append(end)
        return end


@dataclass
class Tally:
    """Count how the callers' requests ended."""

    count: int = 0
    on_time: int = 0
    refused: int = 0
    timed_out: int = 0

    def fraction(self, number):
        """Return a number as a fraction of all requests."""
        return number / max(1, self.count)


@dataclass
class Simulation:
    """Store the parameters of a simulation and its results by second."""

    requests_per_s: float
    choice: str = "warm-first"
    slowdown: Slowdown = NO_SLOWDOWN
    max_warm: int = MAX_WARM
    seed: int = 7
    machines: SharedMachines = UNSHARED
    slowdown_rule: str = "smoothed"
    seconds: dict[int, Tally] = field(default_factory=dict)

    def run(self):
        """Run the whole simulation."""
        rng = Random(self.seed)
        routing = make_routing(
            make_route(target_latency_ms=int(LATENCY_TARGET * 1000), timeout_ms=1000)
        )
        instances = [make_instance(number, slots=SLOTS) for number in range(SERVERS)]
        gateways = [
            Gateway(
                routing, choice=self.choice, slowdown_rule=self.slowdown_rule
            ).add_instances(*instances)
            for _ in range(GATEWAYS)
        ]
        servers = {
            item.instance: SimulatedServer(
                self.max_warm,
                self.slowdown if number < self.slowdown.servers else NO_SLOWDOWN,
                self.machines.paces(Random(1000 * self.seed + number)),
            )
            for number, item in enumerate(instances)
        }
        pending, turn, now = [], 0, 0.0
        while now < SECONDS:
            now += rng.expovariate(self.requests_per_s)
            while pending and pending[0][0] <= now:
                finish_send(servers, *heapq.heappop(pending))
            turn += 1
            tally = self.seconds.setdefault(int(now), Tally())
            tally.count += 1
            gateway = rng.choice(gateways)
            gateway.now = Instant(100.0 + now)
            routed = gateway.request(key=str(rng.randrange(OBJECTS)))
            destination = gateway.select(routed)
            if isinstance(destination, str):
                tally.refused += 1
                continue
            end = servers[destination.instance].run(routed.req.object, now)
            if end is None:
                gateway.end(routed, destination, SendOutcome.REJECTED)
                tally.refused += 1
                continue
            tally.on_time += end - now <= LATENCY_TARGET
            tally.timed_out += end >= now + TIMEOUT
            heapq.heappush(pending, (end, turn, gateway, routed, destination, now))
        return self

    def between(self, begin, end):
        """Return the sum of the results from second ``begin`` up to ``end``."""
        total = Tally()
        for second, tally in self.seconds.items():
            if begin <= second < end:
                total.count += tally.count
                total.on_time += tally.on_time
                total.refused += tally.refused
                total.timed_out += tally.timed_out
        return total


def finish_send(servers, at, turn, gateway, routed, destination, started_at):
    """Record at a gateway how a send has ended."""
    gateway.now = Instant(100.0 + at)
    if at >= started_at + TIMEOUT:
        sent = SendResult(SendOutcome.TIMED_OUT, TIMEOUT)
    else:
        load = servers[destination.instance].load(at)
        pace = round(servers[destination.instance].pace(at), 2)
        report = LoadReport(min(load, SLOTS), max(0, load - SLOTS), SLOTS, pace)
        sent = SendResult(
            SendOutcome.ANSWERED, at - started_at, HttpAnswer(200, "", (), b""), report
        )
    record_send(gateway.state, routed, destination, sent, gateway.now)
