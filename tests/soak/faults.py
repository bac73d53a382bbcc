"""Inject faults from outside the programs: signals, links, servers and clients."""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Callable
from contextlib import ExitStack
from contextlib import contextmanager
from contextlib import suppress
from typing import TYPE_CHECKING

from snipecart.core.registry import Registry
from snipecart.platform import names

from .checks import APPLY_SECONDS
from .checks import CONNECTIVITY_SECONDS
from .checks import CORE
from .checks import EVACUATION_SECONDS
from .history import Disturbance
from .history import Evacuation
from .history import ProcessName
from .history import Seconds
from .proxy import LinkMode
from .servers import Conduct

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

    from .world import World

STOP_SECONDS = 8.0
"""Longest time of a planned stop; the grace of the settings is half of it."""

SILENT_CONNECTIONS = 40
NAMED_LIMIT = 5.0
"""Requests per second."""

LIMITED_SECONDS = 8.0
COLD_SECONDS = 5.0
PARTIAL_HEAD = b"GET /look/slow HTTP/1.1\r\nHost: shop.exam"

NOT_MISCONDUCT = {Conduct.SOUND, Conduct.SPOILED, Conduct.ENDLESS}
MISCONDUCT = tuple(item for item in Conduct if item not in NOT_MISCONDUCT)
"""What a server may do in the fault "misbehave"."""

Fault = Callable[["World", "Random"], None]

FAULTS: Registry[str, Fault] = Registry("faults of a soak")
"""Faults by name; each blocks until it is over."""


@contextmanager
def disturbing(
    world: World, process: str, fault: str, *, cuts: bool = True
) -> Iterator[None]:
    """Record that a fault may affect a process until a while after the block."""
    begin = Seconds(time.monotonic())
    try:
        yield
    finally:
        end = Seconds(time.monotonic() + CONNECTIVITY_SECONDS)
        name = ProcessName(process)
        world.recorder.post(Disturbance(name, fault, begin, end, cuts))


def _restart(world: World, name: str, pause: float) -> None:
    time.sleep(pause)
    world.start(name)
    world.wait_until_up(name)


@FAULTS.register("kill a gateway")
def kill_gateway(world: World, rng: Random) -> None:
    """Kill a gateway, at times again as soon as it starts."""
    with world.borrow_gateway(rng) as name:
        if not name:
            return
        with disturbing(world, name, "kill"):
            world.end(name, signal.SIGKILL)
            if rng.random() < 0.3:
                world.start(name)
                time.sleep(rng.random())
                world.end(name, signal.SIGKILL)
            _restart(world, name, rng.random())


@FAULTS.register("stop a gateway")
def stop_gateway(world: World, rng: Random) -> None:
    """Stop a gateway as planned, and start it again."""
    with world.borrow_gateway(rng) as name:
        if not name:
            return
        with disturbing(world, name, "planned stop", cuts=False):
            world.end(name, signal.SIGTERM, STOP_SECONDS)
            _restart(world, name, rng.random())


@FAULTS.register("freeze a gateway")
def freeze_gateway(world: World, rng: Random) -> None:
    """Freeze a gateway for a while."""
    with world.borrow_gateway(rng) as name:
        if name:
            with disturbing(world, name, "freeze"):
                world.freeze(name, 0.3 + 3 * rng.random())


@FAULTS.register("reload a gateway")
def reload_gateway(world: World, rng: Random) -> None:
    """Send SIGHUP to a gateway."""
    with world.borrow_gateway(rng) as name:
        if name:
            world.signal(name, signal.SIGHUP)
            time.sleep(rng.random())


@FAULTS.register("kill a control process")
def kill_control(world: World, rng: Random) -> None:
    """Kill one control process, and start it again."""
    with world.borrow_control(rng) as name:
        if not name:
            return
        with disturbing(world, CORE, f"kill {name}"):
            world.end(name, signal.SIGKILL)
            _restart(world, name, 3 * rng.random())


@FAULTS.register("stop a control process")
def stop_control(world: World, rng: Random) -> None:
    """Stop one control process as planned, and start it again."""
    with world.borrow_control(rng) as name:
        if not name:
            return
        with disturbing(world, CORE, f"stop {name}"):
            world.end(name, signal.SIGTERM, STOP_SECONDS)
            _restart(world, name, rng.random())


@FAULTS.register("freeze a control process")
def freeze_control(world: World, rng: Random) -> None:
    """Freeze one control process for a while."""
    with world.borrow_control(rng) as name:
        if name:
            with disturbing(world, CORE, f"freeze {name}"):
                world.freeze(name, 0.5 + 3 * rng.random())


@FAULTS.register("kill all control processes")
def kill_all_control(world: World, rng: Random) -> None:
    """Kill all control processes at once, and start them again."""
    with world.borrow_all_control() as controls:
        if not controls:
            return
        with disturbing(world, CORE, "kill all"):
            for name in controls:
                world.end(name, signal.SIGKILL)
            time.sleep(rng.random())
            for name in controls:
                world.start(name)
            for name in controls:
                world.wait_until_up(name)


@FAULTS.register("misbehave")
def misbehave(world: World, rng: Random) -> None:
    """Let some servers misbehave for a while."""
    _let_behave(world, rng, rng.choice(MISCONDUCT))


def _let_behave(world: World, rng: Random, conduct: Conduct) -> None:
    servers = rng.sample(world.servers, rng.randrange(1, len(world.servers)))
    for server in servers:
        server.conduct = conduct
    time.sleep(0.5 + 3 * rng.random())
    for server in servers:
        server.conduct = Conduct.SOUND


@FAULTS.register("spoil load reports")
def spoil_load_reports(world: World, rng: Random) -> None:
    """Let some servers report numbers of many digits for a while."""
    _let_behave(world, rng, Conduct.SPOILED)


@FAULTS.register("answer without end")
def answer_without_end(world: World, rng: Random) -> None:
    """Let some servers answer without end for a while."""
    _let_behave(world, rng, Conduct.ENDLESS)


@FAULTS.register("disturb links")
def disturb_links(world: World, rng: Random) -> None:
    """Delay, reset, cut one way or silence the links to some servers."""
    mode = rng.choice([item for item in LinkMode if item is not LinkMode.PASS])
    servers = rng.sample(world.servers, rng.randrange(1, len(world.servers)))
    for server in servers:
        server.proxy.mode = mode
    time.sleep(0.5 + 2 * rng.random())
    for server in servers:
        server.proxy.mode = LinkMode.PASS


@FAULTS.register("replace a server")
def replace_server(world: World, rng: Random) -> None:
    """Let a server announce that it leaves, and add another one before."""
    world.replace_server(rng)


@FAULTS.register("deliver a heartbeat late")
def deliver_late(world: World, rng: Random) -> None:
    """Replace a server, whose last heartbeat arrives after it has left."""
    world.replace_server(rng, late=True)


@FAULTS.register("say in answers that a server leaves")
def leave_by_answers(world: World, rng: Random) -> None:
    """Let a server say in its answers that it leaves, and end it later."""
    world.replace_server(rng, by_answers=True)


@FAULTS.register("name a rate limit")
def name_limit(world: World, rng: Random) -> None:
    """Let a server name a limit of its rate for a while, once in its life."""
    fresh = [item for item in world.servers if not item.named_limit]
    if not fresh:
        return
    server = rng.choice(fresh)
    server.named_limit, server.limit = True, NAMED_LIMIT
    time.sleep(LIMITED_SECONDS)
    server.limit = 0.0


@FAULTS.register("silent clients")
def connect_silent_clients(world: World, rng: Random) -> None:
    """Open connections to a gateway that send nothing, or part of a head."""
    front = rng.choice(world.fronts)
    with ExitStack() as stack:
        for _ in range(SILENT_CONNECTIONS):
            with suppress(OSError):
                sock = socket.create_connection((front.host, front.port), 1.0)
                stack.enter_context(sock)
                if rng.random() < 0.5:
                    sock.sendall(PARTIAL_HEAD)
        time.sleep(2.0 + 2 * rng.random())


@FAULTS.register("evacuate a zone")
def evacuate_zone(world: World, rng: Random) -> None:
    """Evacuate a zone for a while, and wait until its servers get requests again."""
    with world.borrow_zone(rng) as zone:
        if not zone:
            return
        acknowledged_at = world.give_order(names.START_EVACUATION + zone)
        time.sleep(EVACUATION_SECONDS + 3 + 4 * rng.random())
        ended_at = Seconds(time.monotonic())
        restored_at = world.give_order(names.STOP_EVACUATION + zone)
        used_at = world.wait_for_use(zone, restored_at)
        world.recorder.post(
            Evacuation(zone, acknowledged_at, ended_at, restored_at, used_at)
        )


@FAULTS.register("cold servers")
def start_cold(world: World, rng: Random) -> None:
    """Add a server that is cold for a while, or let one become cold that runs."""
    if rng.random() < 0.5:
        world.replace_server(rng, cold_seconds=COLD_SECONDS)
        return
    server = rng.choice(world.servers)
    server.become_cold(COLD_SECONDS)
    world.announce(server)
    server.cold_since = Seconds(time.monotonic() + APPLY_SECONDS)
    time.sleep(COLD_SECONDS)
