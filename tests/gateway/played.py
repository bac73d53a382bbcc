"""Play callers, gateways and servers that answer faster what they know."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from random import Random

from snipecart.core.ids import Instant
from snipecart.core.states import SendEnd
from snipecart.gateway.placing.outcome import note_end
from snipecart.gateway.request import HttpAnswer
from snipecart.gateway.request import SendResult
from tests.gateway.world import Gateway
from tests.gateway.world import make_instance
from tests.gateway.world import make_route
from tests.gateway.world import make_routing

COLD, WARM = 0.64, 0.19
"""Seconds of work on an object that a server does not know, and that it knows."""

SERVERS, SLOTS, QUEUE, KEEPS = 12, 6, 18, 40
OBJECTS, GATEWAYS, SECONDS = 80, 4, 20.0
AIM, TIMEOUT = 0.4, 1.0
WARM_CAPACITY = SERVERS * SLOTS / WARM
"""Requests a second that the servers bear if they know all objects."""


@dataclass(frozen=True)
class Slow:
    """Slow some servers down for a while."""

    servers: int
    factor: float
    begin: float
    end: float


NOT_SLOW = Slow(0, 1.0, 0.0, 0.0)


class PlayedServer:
    """Run requests in slots, queue a few, and remember the latest objects."""

    def __init__(self, keeps, slow=NOT_SLOW):
        self.keeps = keeps
        self.free_at = [0.0] * SLOTS
        self.known = OrderedDict()
        self.ends = []
        self.slow = slow

    def load(self, now):
        self.ends = [end for end in self.ends if end > now]
        return len(self.ends)

    def run(self, key, now):
        """Return when a request ends, at its timeout at the latest.

        None stands for a full queue.
        """
        if self.load(now) >= SLOTS + QUEUE:
            return None
        begin = max(now, heapq.heappop(self.free_at))
        slowed = self.slow.begin <= now < self.slow.end
        work = (WARM if key in self.known else COLD) * (
            self.slow.factor if slowed else 1.0
        )
        end = min(begin + work, now + TIMEOUT)
        heapq.heappush(self.free_at, max(begin, end))
        self.known[key] = True
        self.known.move_to_end(key)
        if len(self.known) > self.keeps:
            self.known.popitem(last=False)
        self.ends.append(end)
        return end


@dataclass
class Tally:
    """Count how the callers' requests ended."""

    count: int = 0
    in_aim: int = 0
    refused: int = 0
    timed_out: int = 0

    def part(self, number):
        """Return a number's part of all requests."""
        return number / max(1, self.count)


@dataclass
class Play:
    """Hold a load, and what came of it by second of the day."""

    per_s: float
    choice: str = "warm-first"
    slow: Slow = NOT_SLOW
    keeps: int = KEEPS
    seed: int = 7
    seconds: dict[int, Tally] = field(default_factory=dict)

    def run(self):
        """Play the whole day."""
        rng = Random(self.seed)
        routing = make_routing(
            make_route(target_latency_ms=int(AIM * 1000), timeout_ms=1000)
        )
        instances = [make_instance(number, slots=SLOTS) for number in range(SERVERS)]
        gateways = [
            Gateway(routing, choice=self.choice).know(*instances)
            for _ in range(GATEWAYS)
        ]
        servers = {
            item.instance: PlayedServer(
                self.keeps, self.slow if number < self.slow.servers else NOT_SLOW
            )
            for number, item in enumerate(instances)
        }
        open_sends, turn, now = [], 0, 0.0
        while now < SECONDS:
            now += rng.expovariate(self.per_s)
            while open_sends and open_sends[0][0] <= now:
                _end(servers, *heapq.heappop(open_sends))
            turn += 1
            tally = self.seconds.setdefault(int(now), Tally())
            tally.count += 1
            gateway = rng.choice(gateways)
            gateway.now = Instant(100.0 + now)
            routed = gateway.request(key=str(rng.randrange(OBJECTS)))
            place = gateway.place(routed)
            if isinstance(place, str):
                tally.refused += 1
                continue
            end = servers[place.instance].run(routed.req.object, now)
            if end is None:
                gateway.end(routed, place, SendEnd.REJECTED)
                tally.refused += 1
                continue
            tally.in_aim += end - now <= AIM
            tally.timed_out += end >= now + TIMEOUT
            heapq.heappush(open_sends, (end, turn, gateway, routed, place, now))
        return self

    def between(self, begin, end):
        """Return the sum over some seconds of the day."""
        total = Tally()
        for second, tally in self.seconds.items():
            if begin <= second < end:
                total.count += tally.count
                total.in_aim += tally.in_aim
                total.refused += tally.refused
                total.timed_out += tally.timed_out
        return total


def _end(servers, at, turn, gateway, routed, place, began):
    gateway.now = Instant(100.0 + at)
    if at >= began + TIMEOUT:
        sent = SendResult(SendEnd.TIMED_OUT, TIMEOUT)
    else:
        load = servers[place.instance].load(at)
        report = (min(load, SLOTS), max(0, load - SLOTS), SLOTS)
        sent = SendResult(
            SendEnd.ANSWERED, at - began, HttpAnswer(200, "", (), b""), report
        )
    note_end(gateway.state, routed, place, sent, gateway.now)
