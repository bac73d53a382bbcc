"""Inject faults that lose control VMs, their disks, or all power."""

from __future__ import annotations

import resource
import signal
import time
from contextlib import ExitStack
from typing import TYPE_CHECKING

from .checks import CORE
from .faults import FAULTS
from .faults import STOP_SECONDS
from .faults import disturbing
from .history import PowerLoss
from .history import Seconds

if TYPE_CHECKING:
    from random import Random

    from .world import World

JOIN_SECONDS = 4.0
"""Time for which a replacement may join before another VM or disk is lost."""

REPLACE_SECONDS = 1.0
"""Time from the loss of a VM to the start of its replacement."""

LOST_DISK_PROBABILITY = 0.5
"""Probability that one data folder is lost with the power."""

MIN_POWER_OFF_SECONDS = 0.5


def _join(world: World, name: str) -> None:
    world.wait_until_up(name)
    time.sleep(JOIN_SECONDS)


@FAULTS.register("replace a control VM")
def replace_control(world: World, rng: Random) -> None:
    """Kill a control process for good, and start an empty one at a new address."""
    with world.borrow_control(rng) as name:
        if not name:
            return
        with disturbing(world, CORE, f"lose {name}"):
            world.end(name, signal.SIGKILL)
            time.sleep(REPLACE_SECONDS)
            new = world.fleet.add_control(name)
            _join(world, new)
        world.swap_control(name, new)


@FAULTS.register("replace a control VM as planned")
def replace_control_planned(world: World, rng: Random) -> None:
    """Start an empty control process at a new address, and then stop an old one."""
    with world.borrow_control(rng) as name:
        if not name:
            return
        with disturbing(world, CORE, f"replace {name}"):
            new = world.fleet.add_control(name)
            _join(world, new)
            world.end(name, signal.SIGTERM, STOP_SECONDS)
            time.sleep(JOIN_SECONDS)
        world.swap_control(name, new)


@FAULTS.register("lose a control disk")
def lose_disk(world: World, rng: Random) -> None:
    """Kill a control process, and start it again with an empty data folder."""
    with world.borrow_control(rng) as name:
        if not name:
            return
        with disturbing(world, CORE, f"lose the disk of {name}"):
            world.end(name, signal.SIGKILL)
            world.fleet.lose_data(name)
            time.sleep(2 * rng.random())
            world.start(name)
            _join(world, name)


@FAULTS.register("control disk refuses writes")
def refuse_writes(world: World, rng: Random) -> None:
    """Let no file of a control process grow for a while."""
    with world.borrow_control(rng) as name:
        if not name:
            return
        with disturbing(world, CORE, f"refuse the writes of {name}"):
            world.limit_files(name, 0)
            time.sleep(1.0 + 4 * rng.random())
            world.limit_files(name, resource.RLIM_INFINITY)
            time.sleep(REPLACE_SECONDS)


@FAULTS.register("lose power")
def lose_power(world: World, rng: Random) -> None:
    """Kill all processes at the same moment, and at times lose one data folder."""
    with world.borrow_all() as names, ExitStack() as stack:
        if not names:
            return
        for gateway in world.gateways:
            stack.enter_context(disturbing(world, gateway, "lose power"))
        stack.enter_context(disturbing(world, CORE, "lose power"))
        lost_at = Seconds(time.monotonic())
        world.end_all(names)
        if rng.random() < LOST_DISK_PROBABILITY:
            world.fleet.lose_data(rng.choice(world.controls))
        time.sleep(MIN_POWER_OFF_SECONDS + rng.random())
        started_at = Seconds(time.monotonic())
        for name in names:
            world.start(name)
        world.recorder.post(PowerLoss(lost_at, started_at))
        for name in names:
            world.wait_until_up(name)
        time.sleep(JOIN_SECONDS)
