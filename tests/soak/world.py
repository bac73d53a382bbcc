"""Run the programs, servers, clients and operators of one soak."""

from __future__ import annotations

import json
import resource
import signal
import threading
import time
from contextlib import contextmanager
from contextlib import suppress
from random import Random
from subprocess import TimeoutExpired
from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError

from snipecart.core.task import running
from snipecart.platform import names
from tests.platform.fleet import FRONT
from tests.platform.fleet import ZONES
from tests.platform.fleet import platform_fleet
from tests.platform.fleet import wait_for

from .checks import RECOVERY_SECONDS
from .clients import Client
from .clients import Front
from .history import Drained
from .history import OwnExit
from .history import ProcessName
from .history import RecorderTask
from .history import Seconds
from .operator import SERVICES
from .operator import Operator
from .servers import SoakServer

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from tests.platform.fleet import PlatformFleet

    from .history import History

DEFAULT_NET = "127.71"
SERVERS_OF_SERVICE = 3
CLIENTS = 16
HEARTBEAT_SECONDS = 0.5
DRAIN_TIME = 2.5
"""Time for which a leaving server still serves after the acknowledgement."""

LATE_SECONDS = 3.0
"""Longest delay of a late heartbeat, and for how long its server serves on."""

SAYS_LEAVING_SECONDS = 4.0
"""Time for which a server says only in its answers that it leaves."""

UP_SECONDS = 20.0
"""Time in which a process must be up again."""

SETTLE_SECONDS = 4.0
"""Time after the last fault before gateways are asked whether they serve."""


class World:
    """Own the processes and the servers, and lend each process to one fault."""

    def __init__(
        self, fleet: PlatformFleet, rng: Random, recorder: RecorderTask
    ) -> None:
        self.fleet, self.rng, self.recorder = fleet, rng, recorder
        self.gateways = [name for name in fleet.processes if "entry" in name]
        self.controls = [name for name in fleet.processes if "control" in name]
        self.fronts = [
            Front(ProcessName(name), fleet.host(name), FRONT) for name in self.gateways
        ]
        self.servers: list[SoakServer] = []
        self._numbers = iter(range(1, 3000))
        self._lock = threading.Lock()
        self._borrowed: set[str] = set()
        self._lends_no_more = False
        """Whether a fault waits for all processes."""
        self._down: set[str] = set()
        self.stopping = threading.Event()

    def add_server(self, service: str, cold_seconds: float = 0.0) -> SoakServer:
        """Start a server, which may be cold at first, and announce it."""
        number = next(self._numbers)
        host, zone = f"{self.fleet.net}.3.1", list(ZONES)[number // 2 % 2]
        server = SoakServer(host, number, service, zone, self.recorder)
        server.become_cold(cold_seconds)
        self.announce(server)
        self.servers.append(server)
        return server

    def announce(self, server: SoakServer) -> bool:
        """Send a server's heartbeat to one control process after the other."""
        body = json.dumps(server.describe()).encode()
        return self._call(names.HEARTBEAT + server.name, body)

    def _call(self, path: str, body: bytes) -> bool:
        for name in self.controls:
            answer = self.fleet.call("POST", name, path, body)
            if answer is not None and answer.status == 200:
                return True
        return False

    def give_order(self, path: str) -> Seconds:
        """Call control processes until one acknowledges; return when it did."""
        while not self.stopping.is_set() and not self._call(path, b""):
            time.sleep(0.1)
        return Seconds(time.monotonic())

    def wait_for_use(self, zone: str, since: float) -> Seconds:
        """Return when a server of a zone first ran a request since a time.

        Return infinity after RECOVERY_SECONDS, and ``since`` if the zone is empty.
        """
        while time.monotonic() < since + RECOVERY_SECONDS:
            staying = [item for item in self.servers if not item.leaving]
            if not any(item.zone == zone for item in staying):
                return Seconds(since)
            for run in reversed(self.recorder.history.runs):
                if run.at < since:
                    break
                if run.zone == zone:
                    return run.at
            time.sleep(0.1)
        return Seconds(float("inf"))

    def replace_server(
        self,
        rng: Random,
        *,
        by_answers: bool = False,
        late: bool = False,
        cold_seconds: float = 0.0,
    ) -> None:
        """Add a server, let another one of its service leave, and end that one.

        It says so in its heartbeats, or at first ``by_answers`` only. With ``late``, a
        heartbeat from before arrives after it has left, and it serves on for a while.
        The new one is cold for ``cold_seconds``.
        """
        with self._lock:
            staying = [
                item for item in self.servers if not (item.leaving or item.says_leaving)
            ]
            leaving = rng.choice(staying)
            earlier = json.dumps(leaving.describe()).encode()
            leaving.says_leaving = by_answers
            leaving.leaving = not by_answers
        self.add_server(leaving.service, cold_seconds)
        if by_answers:
            time.sleep(SAYS_LEAVING_SECONDS)
            leaving.leaving = True
        while not self.stopping.is_set() and not self.announce(leaving):
            time.sleep(0.1)
        acknowledged_at = Seconds(time.monotonic())
        if not self.stopping.is_set():
            self.recorder.post(Drained(leaving.name, acknowledged_at))
        time.sleep(DRAIN_TIME)
        self._call(names.DEREGISTER + leaving.name, b"")
        self.servers.remove(leaving)
        if late:
            time.sleep(LATE_SECONDS * rng.random())
            self._call(names.HEARTBEAT + leaving.name, earlier)
            time.sleep(LATE_SECONDS)
        leaving.close()

    def send_heartbeats(self) -> None:
        """Announce all servers until the soak stops."""
        while not self.stopping.wait(HEARTBEAT_SECONDS):
            for server in list(self.servers):
                self.announce(server)

    def start(self, name: str) -> None:
        """Start a process."""
        self.fleet.start(name, bootstrap=False)
        self._down.discard(name)

    def end(self, name: str, number: int, timeout: float = 20.0) -> None:
        """Send a signal that ends a process, and kill it if it does not."""
        self._down.add(name)
        process = self.fleet.processes.pop(name)
        process.send_signal(number)
        try:
            code = process.wait(timeout)
        except TimeoutExpired:
            process.kill()
            code = process.wait(20)
        if number == signal.SIGTERM and code != 0:
            self._record_exit(name, code)

    def end_all(self, names: list[str]) -> None:
        """Kill processes at the same moment."""
        self._down.update(names)
        processes = [self.fleet.processes.pop(name) for name in names]
        for process in processes:
            process.kill()
        for process in processes:
            process.wait(20)

    def limit_files(self, name: str, size: int) -> None:
        """Let a process write no file beyond a size."""
        limits = (size, resource.RLIM_INFINITY)
        resource.prlimit(self.fleet.processes[name].pid, resource.RLIMIT_FSIZE, limits)

    def signal(self, name: str, number: int) -> None:
        """Send a signal that doesn't end a process."""
        self.fleet.processes[name].send_signal(number)

    def freeze(self, name: str, seconds: float) -> None:
        """Freeze a process for some seconds."""
        self.signal(name, signal.SIGSTOP)
        time.sleep(seconds)
        self.signal(name, signal.SIGCONT)

    def wait_until_up(self, name: str) -> None:
        """Wait until a gateway is ready, or a control process answers."""
        with suppress(AssertionError):
            if name in self.gateways:
                wait_for(lambda: self.fleet.is_ready(name), UP_SECONDS)
            else:
                wait_for(lambda: self._answers(name), UP_SECONDS)

    def _answers(self, name: str) -> bool:
        answer = self.fleet.call("GET", name, names.GET_ROUTING)
        return answer is not None and answer.status in (200, 503)

    def watch_exits(self) -> None:
        """Record processes that end by themselves, and start them again."""
        while not self.stopping.wait(0.1):
            for name, process in list(self.fleet.processes.items()):
                code = process.poll()
                if code is not None and name not in self._down:
                    self._record_exit(name, code)
                    self.start(name)

    def _record_exit(self, name: str, code: int) -> None:
        at = Seconds(time.monotonic())
        self.recorder.post(OwnExit(ProcessName(name), code, at))

    @contextmanager
    def borrow_gateway(self, rng: Random) -> Iterator[str]:
        """Lend a gateway to one fault; empty if all but one are lent."""
        with self._borrowing(self.gateways, len(self.gateways) - 1, rng) as name:
            yield name

    @contextmanager
    def borrow_control(self, rng: Random) -> Iterator[str]:
        """Lend a control process to one fault; empty if one is lent already."""
        with self._borrowing(self.controls, 1, rng) as name:
            yield name

    @contextmanager
    def borrow_zone(self, rng: Random) -> Iterator[str]:
        """Lend an availability zone to one fault; empty if one is lent already."""
        with self._borrowing(list(ZONES), 1, rng) as zone:
            yield zone

    def swap_control(self, old: str, new: str) -> None:
        """Lend a new control process to faults instead of one that is gone."""
        with self._lock:
            self.controls[self.controls.index(old)] = new

    @contextmanager
    def _borrowing(self, among: list[str], most: int, rng: Random) -> Iterator[str]:
        with self._lock:
            free = [name for name in among if name not in self._borrowed]
            may_lend = not self._lends_no_more and len(among) - len(free) < most
            name = rng.choice(free) if may_lend else ""
            if name:
                self._borrowed.add(name)
        try:
            yield name
        finally:
            with self._lock:
                self._borrowed.discard(name)

    @contextmanager
    def borrow_all_control(self) -> Iterator[list[str]]:
        """Lend all control processes to one fault; none if one is lent already."""
        with self._lock:
            free = not self._lends_no_more and not self._borrowed & set(self.controls)
            lent = list(self.controls) if free else []
            self._borrowed.update(lent)
        try:
            yield lent
        finally:
            with self._lock:
                self._borrowed.difference_update(lent)

    @contextmanager
    def borrow_all(self) -> Iterator[list[str]]:
        """Lend all processes to one fault, after all others have returned theirs.

        None if another fault waits for all processes already.
        """
        with self._lock:
            lent = not self._lends_no_more
            self._lends_no_more = True
        if not lent:
            yield []
            return
        try:
            while self._borrowed - set(ZONES):
                time.sleep(0.05)
            yield [*self.controls, *self.gateways]
        finally:
            self._lends_no_more = False

    def ask_all(self) -> dict[ProcessName, int]:
        """Return how many of ten requests each gateway serves."""
        return {
            front.gateway: sum(self._serves(front, attempt) for attempt in range(10))
            for front in self.fronts
        }

    def _serves(self, front: Front, attempt: int) -> bool:
        try:
            answer = self.fleet.request(front.gateway, f"/look/end{attempt}")
        except HTTPError:
            return False
        return answer.status == 200


@contextmanager
def running_world(
    folder: Path, rng: Random, controls: int, gateways: int, net: str
) -> Iterator[World]:
    """Run a world until the block ends, with its clients and operator."""
    recorder = RecorderTask()
    with (
        running(recorder),
        platform_fleet(folder, net, controls, gateways) as fleet,
    ):
        world = World(fleet, rng, recorder)
        operator = Operator(fleet, rng, recorder)
        while operator.change().status != 200:
            time.sleep(0.2)
        for service in SERVICES * SERVERS_OF_SERVICE:
            world.add_server(service)
        beats = threading.Thread(target=world.send_heartbeats, daemon=True)
        beats.start()
        wait_for(lambda: all(map(fleet.is_ready, world.gateways)))
        exits = threading.Thread(target=world.watch_exits, daemon=True)
        exits.start()
        callers = [
            Client(world.fronts, Random(rng.random()), recorder) for _ in range(CLIENTS)
        ]
        operator.thread.start()
        for caller in callers:
            caller.thread.start()
        try:
            yield world
        finally:
            _stop_all(world, operator, callers)


def _stop_all(world: World, operator: Operator, callers: list[Client]) -> None:
    """Stop clients and operators, and ask each gateway whether it serves."""
    operator.stopping.set()
    operator.thread.join(30)
    time.sleep(SETTLE_SECONDS)
    for caller in callers:
        caller.stopping.set()
    for caller in callers:
        caller.thread.join(10)
    history: History = world.recorder.history
    history.served_at_end = world.ask_all()
    operator.read()
    history.changed_at_end = operator.changes_within(RECOVERY_SECONDS)
    world.stopping.set()
    for server in list(world.servers):
        server.close()
