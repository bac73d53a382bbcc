"""Play a flood on servers that answer faster what they know, and look at callers."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from random import Random

from snipecart.core.ids import Instant
from snipecart.core.states import SendEnd
from snipecart.gateway.placing.outcome import note_end
from snipecart.gateway.request import HttpAnswer
from snipecart.gateway.request import Sent
from tests.gateway.world import Gateway
from tests.gateway.world import make_instance
from tests.gateway.world import make_route
from tests.gateway.world import make_routing

COLD, WARM = 0.64, 0.19
"""Seconds of work on an object that a server does not know, and that it knows."""

SERVERS, SLOTS, QUEUE, KEEPS = 12, 6, 18, 40
OBJECTS, GATEWAYS, SECONDS = 80, 4, 20.0


class PlayedServer:
    """Run requests in slots, queue a few, and remember the latest objects."""

    def __init__(self):
        self.free_at = [0.0] * SLOTS
        self.known = OrderedDict()
        self.ends = []

    def load(self, now):
        self.ends = [end for end in self.ends if end > now]
        return len(self.ends)

    def run(self, key, now):
        """Return when a request ends, or None where the queue is full."""
        if self.load(now) >= SLOTS + QUEUE:
            return None
        begin = max(now, heapq.heappop(self.free_at))
        end = begin + (WARM if key in self.known else COLD)
        heapq.heappush(self.free_at, end)
        self.known[key] = True
        self.known.move_to_end(key)
        if len(self.known) > KEEPS:
            self.known.popitem(last=False)
        self.ends.append(end)
        return end


def play(choice, per_s, seed=7):
    """Return the parts of requests answered within the target and refused."""
    rng = Random(seed)
    routing = make_routing(make_route(target_latency_ms=400, timeout_ms=1500))
    instances = [make_instance(number, slots=SLOTS) for number in range(SERVERS)]
    gateways = [Gateway(routing, choice=choice).know(*instances) for _ in range(4)]
    servers = {item.instance: PlayedServer() for item in instances}
    events, count, in_aim, refused, now = [], 0, 0, 0, 0.0
    while now < SECONDS:
        now += rng.expovariate(per_s)
        while events and events[0][0] <= now:
            at, _, gateway, routed, place, began = heapq.heappop(events)
            gateway.now = Instant(100.0 + at)
            load = servers[place.instance].load(at)
            report = (min(load, SLOTS), max(0, load - SLOTS), SLOTS)
            answer = HttpAnswer(200, "", (), b"")
            sent = Sent(SendEnd.ANSWERED, at - began, answer, report)
            note_end(gateway.state, routed, place, sent, gateway.now)
        gateway = rng.choice(gateways)
        gateway.now = Instant(100.0 + now)
        routed = gateway.request(key=str(rng.randrange(OBJECTS)))
        place = gateway.place(routed)
        counted = now > SECONDS / 2
        count += counted
        end = None
        if not isinstance(place, str):
            end = servers[place.instance].run(routed.req.object, now)
            if end is None:
                gateway.end(routed, place, SendEnd.REJECTED)
        if end is None:
            refused += counted
            continue
        in_aim += counted and end - now <= 0.4
        heapq.heappush(events, (end, count, gateway, routed, place, now))
    return in_aim / count, refused / count


def test_objects_keep_to_their_servers_under_a_load_that_only_warm_servers_bear():
    capacity_warm = SERVERS * SLOTS / WARM
    warm_first, _ = play("warm-first", 0.6 * capacity_warm)
    any_room, _ = play("any-room", 0.6 * capacity_warm)
    assert warm_first > 0.9
    assert warm_first > any_room + 0.2


def test_beyond_all_capacity_what_is_taken_is_still_answered_in_time():
    capacity_warm = SERVERS * SLOTS / WARM
    in_aim, refused = play("warm-first", 1.5 * capacity_warm)
    assert in_aim > 0.45
    assert in_aim / (1 - refused) > 0.75
