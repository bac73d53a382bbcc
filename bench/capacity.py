"""Measure the slopes that docs/CAPACITY.md rests on, in one process.

Each figure is taken at several sizes, fitted by a line, and plotted.
"""

from __future__ import annotations

import gc
import json
import tracemalloc
from pathlib import Path

import click
import pygal

from snipecart.control.leader import AcceptedText
from snipecart.control.leader import LeaderState
from snipecart.control.machine.state import MachineState
from snipecart.control.machine.state import apply_entry
from snipecart.control.machine.state import dump_state
from snipecart.core.ids import Instant
from snipecart.core.states import DispatchOutcome
from snipecart.core.states import EndpointState
from snipecart.core.states import MemberState
from snipecart.core.states import Rank
from snipecart.entry.steering import handlers
from snipecart.entry.steering.messages import ApplyConfiguration
from snipecart.entry.steering.messages import ApplyHeartbeatAnswer
from snipecart.entry.steering.messages import EndCall
from snipecart.entry.steering.messages import RecordDispatch
from snipecart.entry.steering.messages import SlotRequest
from snipecart.entry.steering.state import Locality
from snipecart.entry.steering.state import PolicyKeys
from snipecart.entry.steering.state import SteeringState
from snipecart.entry.steering.state import handle_message
from snipecart.messages.commands import ClaimKey
from snipecart.messages.commands import Entry
from snipecart.messages.members import Announcement
from snipecart.messages.members import Demand
from snipecart.messages.members import Heartbeat
from snipecart.messages.members import HeartbeatAnswer
from snipecart.messages.members import Member
from snipecart.messages.members import RankPort
from snipecart.messages.members import Share
from snipecart.text.model import Text
from snipecart.text.parse import parse_text
from snipecart.wire.codec import decode
from snipecart.wire.codec import encode

from . import gateway_slopes
from .slopes import SLOPES
from .slopes import Slope
from .slopes import slope
from .slopes import timed

__all__ = ["gateway_slopes", "handlers"]

SLOTS = 9


def make_text(sites: int) -> bytes:
    """Make a text of a service in some availability zones."""
    zones = [f"z{at}" for at in range(sites)]
    kinds = [
        {"name": name, "rank": name, "idempotent": True, "deadline_ms": 1000}
        for name in ("urgent", "normal", "deferrable")
    ]
    places = [{"zone": zone, "endpoints": 1, "slots": SLOTS} for zone in zones]
    service = {"name": "s", "places": places, "kinds": kinds}
    regions = [{"name": "r", "zones": zones}]
    return json.dumps({"regions": regions, "services": [service]}).encode()


def make_member(at: int) -> Member:
    """Make a member."""
    ports = tuple(RankPort(rank, 7200) for rank in Rank)
    name = f"entry-{at}/0123456789ab"
    return Member(
        name, name, "r", f"z{at % 19}", "10.0.0.1", ports, MemberState.SERVING
    )


def make_endpoint(at: int, sites: int = 19) -> Announcement:
    """Make a backend server."""
    state = EndpointState.SERVING
    name = f"10.1.{at // 250}.{at % 250}:8080"
    return Announcement(name, "s", "r", f"z{at % sites}", SLOTS, state, 3000)


def make_beat(at: int, grant: int = 0, directory: int = 0) -> Heartbeat:
    """Make a heartbeat of a member with twenty shares."""
    held = tuple(Share(f"slots/10.1.0.{number}:8080", 1) for number in range(20))
    demands = (Demand("s", 5.0),)
    return Heartbeat(make_member(at), 1, directory, grant, held, demands, ())


@slope("heartbeat at the leader", "us", 7, 30, 90, 180)
def measure_heartbeat(members: int) -> float:
    """Decode, answer and encode a heartbeat, slots divided anew included."""
    now = Instant(0.0)
    lead = LeaderState(1, now)
    accepted = AcceptedText(1, Text.model_validate(json.loads(make_text(19))))
    for at in range(members):
        beat = make_beat(at)
        if at == 0:
            infos = tuple(make_endpoint(number) for number in range(36))
            beat = Heartbeat(beat.member, 1, 0, 0, (), beat.demands, infos)
        lead.answer(beat, accepted, now)
    directory = lead.directory.version
    frames = [encode(make_beat(at, 0, directory)) for at in range(members)]
    clock = [0.0]

    def one_round() -> None:
        clock[0] += 0.5
        for frame in frames:
            beat = decode(frame).ok.message
            encode(lead.answer(beat, accepted, Instant(clock[0] % 2.0)))

    return timed(one_round, 2) / members


@slope("division of slots", "us", 7, 30, 90, 180)
def measure_division(members: int) -> float:
    """Divide the slots of 36 backend servers among members."""
    from snipecart.control.leases.allocation import MemberDemand
    from snipecart.control.leases.allocation import allocate_slots

    infos = [make_endpoint(number) for number in range(36)]
    claimants = [
        MemberDemand(f"m{at}", "r", f"z{at % 19}", 2.0) for at in range(members)
    ]
    current = allocate_slots(infos, claimants, {})
    return timed(lambda: allocate_slots(infos, claimants, current), 3)


@slope("heartbeat on the wire", "bytes", 10, 50, 200)
def measure_beat_bytes(shares: int) -> float:
    """Sum a heartbeat and its answer, by shares held."""
    held = tuple(Share(f"slots/10.1.0.{at}:8080", 1) for at in range(shares))
    beat = make_beat(1)
    beat = Heartbeat(beat.member, 1, 1, 1, held, beat.demands, ())
    answer = HeartbeatAnswer(1, 1, False, 1, 2800, held, (), ())
    return float(len(encode(beat)) + len(encode(answer)))


@slope("directory on the wire", "bytes", 36, 100, 400)
def measure_directory_bytes(endpoints: int) -> float:
    """Size a whole directory by its backend servers."""
    infos = tuple(make_endpoint(at) for at in range(endpoints))
    answer = HeartbeatAnswer(1, 1, True, 1, 2800, (), (), infos)
    return float(len(encode(answer)))


@slope("text on the wire", "bytes", 19, 60, 230)
def measure_text_bytes(sites: int) -> float:
    """Size a text by its places."""
    return float(len(make_text(sites)))


@slope("text parsed", "us", 19, 60, 230)
def measure_text_parse(sites: int) -> float:
    """Parse and check a text by its places."""
    data = make_text(sites)
    return timed(lambda: parse_text(data), 5)


@slope("steering of a call", "us", 12, 36, 100, 230)
def measure_steering(endpoints: int) -> float:
    """Ask, dispatch and withdraw one call, by backend servers known."""
    names = PolicyKeys("floors", "shares", "budget")
    limits = dict.fromkeys(Rank, 1000)
    state = SteeringState(Locality("r", "z0"), names, limits)
    now = Instant(1000.0)
    text = Text.model_validate(json.loads(make_text(19)))
    handle_message(state, ApplyConfiguration(1, text), now)
    infos = tuple(make_endpoint(at) for at in range(endpoints))
    shares = tuple(Share(f"slots/{info.endpoint}", 2) for info in infos)
    answer = HeartbeatAnswer(1, 1, True, 1, 10**9, shares, (), infos)
    handle_message(state, ApplyHeartbeatAnswer(answer, now), now)

    def one_call() -> None:
        handle_message(
            state, SlotRequest("c", "s", "urgent", "me", Instant(now + 1)), now
        )
        handle_message(
            state, RecordDispatch("c", DispatchOutcome.ANSWERED, 0.02, -1.0), now
        )
        handle_message(state, EndCall("c"), now)

    return timed(one_call, 200)


def make_claims(count: int) -> MachineState:
    """Apply claims."""
    state = MachineState()
    for at in range(count):
        key = f"1000000-{at:032x}"
        digest, attempt = f"{at:064x}", f"m/{at:032x}"
        command = ClaimKey(key, "caller", digest, attempt, "m", 1_000_000)
        apply_entry(state, Entry(at + 1, 1, 1_000_000, command))
    return state


@slope("claims in memory", "bytes", 1000, 5000, 20000)
def measure_claim_memory(count: int) -> float:
    """Trace the memory of claims."""
    gc.collect()
    tracemalloc.start()
    state = make_claims(count)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(state.claims) == count
    return float(size)


@slope("snapshot of claims", "us", 1000, 5000, 20000)
def measure_snapshot(count: int) -> float:
    """Dump the state with claims."""
    state = make_claims(count)
    return timed(lambda: dump_state(state), 2)


@slope("claim applied", "us", 1000, 5000, 20000)
def measure_claim_apply(count: int) -> float:
    """Apply claims, the whole of them."""
    return timed(lambda: make_claims(count), 1)


def plot(found: Slope, folder: Path) -> None:
    """Write a plot of the figures and the fitted line."""
    gradient, offset = found.fit
    chart = pygal.XY(title=f"{found.name} ({found.unit})", width=640, height=400)
    chart.add("measured", list(zip(found.sizes, found.figures, strict=True)))
    ends = (found.sizes[0], found.sizes[-1])
    chart.add("fit", [(size, gradient * size + offset) for size in ends])
    name = found.name.replace(" ", "-")
    chart.render_to_file(str(folder / f"{name}.svg"))


@click.command()
@click.option("--plots", type=click.Path(path_type=Path), default=Path("docs/plots"))
def main(plots: Path) -> None:
    """Measure every slope, print a table and write the plots."""
    plots.mkdir(parents=True, exist_ok=True)
    click.echo("| What | Unit | Sizes | Measured | Slope | Intercept |")
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for name in SLOPES:
        unit, sizes, measure = SLOPES.get(name)
        found = Slope(name, unit, sizes, tuple(measure(size) for size in sizes))
        gradient, offset = found.fit
        figures = ", ".join(f"{figure:,.0f}" for figure in found.figures)
        points = ", ".join(map(str, sizes))
        click.echo(
            f"| {name} | {unit} | {points} | {figures} | {gradient:,.2f} "
            f"| {offset:,.0f} |"
        )
        plot(found, plots)


if __name__ == "__main__":
    main()
