"""Check the promises to callers, servers and operators on the history of a soak."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterator
from typing import TYPE_CHECKING

from snipecart.core.registry import Registry

from .history import Ending
from .history import Seconds
from .servers import sign

if TYPE_CHECKING:
    from .history import Attempt
    from .history import Change
    from .history import History
    from .history import Run

CORE = "core"
"""Name under which disturbances of control processes stand."""

CONNECTIVITY_SECONDS = 3.0
"""Time without a fault after which a gateway counts as in touch."""

APPLY_SECONDS = 2.0
"""Time from the acknowledgement of a change until it is in force everywhere."""

DRAIN_SECONDS = 2.0
"""Time from the acknowledgement that a server leaves until it gets nothing more."""

HELD_SECONDS = 0.5
"""Time past a route's timeout after which a request counts as held."""

MIN_HELD, HELD_FRACTION = 3, 0.25
"""Held requests, and their part of those at their timeout, that are a violation.

The rule asks for eight, but each client of a soak has one request at a time, so a
gateway that stands still holds only a few.
"""

PAUSE_SLACK_SECONDS, MAX_IN_PAUSE = 0.5, 2
"""Time until a pause binds, and the requests that may still come in it."""

LIMIT_WINDOW_SECONDS, LIMIT_OVERAGE, LIMIT_SLACK = 4.0, 1.5, 5
"""Window, ratio and number of requests that a named limit allows."""

COLD_WINDOW_SECONDS, COLD_OVERAGE, COLD_SLACK = 1.0, 1.5, 5
"""Window, ratio and number of requests that the rate of a cold server allows."""

EVACUATION_SECONDS = 5.0
"""Time from the acknowledgement of an evacuation until its zone gets nothing more."""

RECOVERY_SECONDS = 15.0
"""Time in which all is as before again once a fault is over."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will."""

Check = Callable[["History"], Iterator[str]]

CHECKS: Registry[str, Check] = Registry("checks of a soak")
"""Checks by name; each yields one line a violation."""


@CHECKS.register("at most once")
def check_at_most_once(history: History) -> Iterator[str]:
    """Find requests that are not idempotent and ran more than once."""
    counts = Counter(run.request for run in history.runs)
    for attempt in history.attempts:
        if not attempt.idempotent and counts[attempt.request] > 1:
            yield f"{attempt.request} ran {counts[attempt.request]} times"


@CHECKS.register("refusals are true")
def check_refusals(history: History) -> Iterator[str]:
    """Find requests that were refused as not run, and ran."""
    ran = {run.request for run in history.runs}
    for attempt in history.attempts:
        refused = not attempt.idempotent and attempt.status in NOT_RUN_STATUSES
        if refused and attempt.request in ran:
            yield f"{attempt.request} got {attempt.status} at {attempt.gateway} and ran"


@CHECKS.register("own and whole answers")
def check_answers(history: History) -> Iterator[str]:
    """Find successes that are not the whole answer of a server that ran the request."""
    runs = _runs_by_request(history)
    for attempt in history.attempts:
        if attempt.status // 100 != 2:
            continue
        text = attempt.path.encode() + b"|" + attempt.body
        signatures = {
            sign(attempt.request, run.server, text)
            for run in runs[attempt.request]
            if run.status == attempt.status
        }
        if attempt.answer != text or attempt.signature not in signatures:
            yield f"{attempt.request} at {attempt.gateway}: {attempt.answer[:60]!r}"


@CHECKS.register("requests unchanged")
def check_requests(history: History) -> Iterator[str]:
    """Find runs of requests that no client sent so."""
    sent = {item.request: (item.path, item.body) for item in history.attempts}
    for run in history.runs:
        if run.request in sent and sent[run.request] != (run.path, run.body):
            yield f"{run.request} ran with {run.path} and {len(run.body)} bytes"


@CHECKS.register("drained servers get nothing")
def check_drained(history: History) -> Iterator[str]:
    """Find runs at servers whose leaving was acknowledged long before."""
    drained = {item.server: item.acknowledged_at for item in history.drained}
    for run in history.runs:
        until = drained.get(run.server, Seconds(float("inf"))) + DRAIN_SECONDS
        if run.at > until:
            late = run.at - until
            yield f"{run.request} reached {run.server} {late:.2f} s too late"


@CHECKS.register("servers that say in answers that they leave get nothing")
def check_said_leaving(history: History) -> Iterator[str]:
    """Find runs at servers that had told the same gateway that they leave."""
    attempts = {item.request: item for item in history.attempts}
    passed_on: dict[tuple[str, str], float] = {}
    for run in history.runs:
        attempt = attempts.get(run.request)
        if attempt is None:
            continue
        key = (run.server, run.gateway)
        until = passed_on.get(key, float("inf")) + DRAIN_SECONDS
        if attempt.sent_at > until and not history.disturbed(
            attempt.gateway, until - DRAIN_SECONDS, run.at
        ):
            yield f"{run.request} reached {run.server} from {attempt.gateway}"
        if run.said_leaving and attempt.ending is Ending.ANSWERED:
            passed_on.setdefault(key, attempt.ended_at)


@CHECKS.register("pauses are kept")
def check_pauses(history: History) -> Iterator[str]:
    """Find servers that got requests in a pause that they had asked a gateway for."""
    arrivals: dict[tuple[str, str], list[float]] = defaultdict(list)
    for item in (*history.runs, *history.pauses):
        arrivals[(item.server, item.gateway)].append(item.at)
    for pause in history.pauses:
        begin, end = pause.at + PAUSE_SLACK_SECONDS, pause.at + pause.seconds
        early = sum(begin < at < end for at in arrivals[(pause.server, pause.gateway)])
        gateway = _gateway_name(pause.gateway)
        disturbed = history.disturbed(gateway, pause.at - CONNECTIVITY_SECONDS, end)
        if early > MAX_IN_PAUSE and not disturbed:
            yield f"{pause.server} got {early} from {gateway} in a pause"


@CHECKS.register("named limits hold in sum")
def check_limits(history: History) -> Iterator[str]:
    """Find servers that got more than the limit that they named, from all gateways."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        gateway = _gateway_name(run.gateway)
        begin = run.at - CONNECTIVITY_SECONDS - LIMIT_WINDOW_SECONDS
        if run.limit and not history.disturbed(gateway, begin, run.at):
            runs[run.server].append(run)
    for server, limited in runs.items():
        since = limited[0].at + CONNECTIVITY_SECONDS
        late = [run for run in limited if run.at >= since]
        allowed = LIMIT_OVERAGE * late[0].limit * LIMIT_WINDOW_SECONDS if late else 0.0
        for run in late:
            end = run.at + LIMIT_WINDOW_SECONDS
            count = sum(run.at <= item.at < end for item in late)
            if count > allowed + LIMIT_SLACK:
                yield f"{server} got {count} in 4 s, {allowed + LIMIT_SLACK} allowed"
                break


@CHECKS.register("cold servers get no more than they take")
def check_cold(history: History) -> Iterator[str]:
    """Find cold servers that got more in a second than their rate, from all gateways.

    Requests that clients sent before that second may have been held up by a link.
    """
    sent_at = {item.request: item.sent_at for item in history.attempts}
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        if run.cold_rate and run.request in sent_at:
            runs[run.server].append(run)
    for server, cold in runs.items():
        allowed = COLD_OVERAGE * cold[0].cold_rate + COLD_SLACK
        for begin in [sent_at[run.request] for run in cold]:
            inside = [run for run in cold if run.at < begin + COLD_WINDOW_SECONDS]
            count = sum(begin <= sent_at[run.request] for run in inside)
            if count > allowed:
                yield f"{server} got {count} in a second, {allowed} allowed"
                break


@CHECKS.register("evacuated zones get nothing")
def check_evacuated(history: History) -> Iterator[str]:
    """Find runs in an evacuated zone, by gateways that could know.

    Faults of control processes are an excuse only until it is in force.
    """
    attempts = {item.request: item for item in history.attempts}
    for item in history.evacuations:
        in_force_at = item.acknowledged_at + EVACUATION_SECONDS
        begin = item.acknowledged_at - CONNECTIVITY_SECONDS
        if history.disturbed(CORE, begin, in_force_at):
            continue
        for run in history.runs:
            attempt = attempts.get(run.request)
            if attempt is None or run.zone != item.zone:
                continue
            begin = attempt.sent_at - CONNECTIVITY_SECONDS
            if in_force_at < run.at < item.ended_at and not history.disturbed(
                attempt.gateway, begin, run.at
            ):
                yield f"{run.request} at {attempt.gateway} reached {item.zone}"


@CHECKS.register("zones are used again after an evacuation")
def check_restored(history: History) -> Iterator[str]:
    """Find zones whose servers got no request once their evacuation had ended."""
    for item in history.evacuations:
        if item.used_at > item.restored_at + RECOVERY_SECONDS:
            yield f"{item.zone} got nothing after its evacuation"


@CHECKS.register("changes in force")
def check_changes(history: History) -> Iterator[str]:
    """Find runs by a service to which only older versions send a route."""
    attempts = {item.request: item for item in history.attempts}
    for run in history.runs:
        attempt = attempts.get(run.request)
        if attempt is None or not run.path.startswith("/move/"):
            continue
        if not _in_touch(history, attempt, run.at):
            continue
        allowed = _possible_changes(history, attempt.sent_at, run.at)
        if allowed and run.service not in {item.service for item in allowed}:
            yield f"{run.request} at {attempt.gateway} ran by {run.service}"


@CHECKS.register("no older version serves after a loss of power")
def check_power_losses(history: History) -> Iterator[str]:
    """Find runs after a loss of all power by a service of older versions only.

    No fault is an excuse: a gateway that lost its version may take no older one.
    """
    attempts = {item.request: item for item in history.attempts}
    for loss in history.power_losses:
        for run in history.runs:
            attempt = attempts.get(run.request)
            if attempt is None or attempt.sent_at < loss.started_at:
                continue
            allowed = _changes_from(history, loss.lost_at, run.at)
            services = {item.service for item in allowed}
            if run.path.startswith("/move/") and run.service not in services:
                yield f"{run.request} at {attempt.gateway} ran by {run.service}"


@CHECKS.register("no older version is read")
def check_reads(history: History) -> Iterator[str]:
    """Find reads that return an older version than one acknowledged before."""
    for read in history.reads:
        newest = max(
            (
                item.version
                for item in history.changes
                if item.status == 200
                and item.valid
                and item.ended_at < read.sent_at - APPLY_SECONDS
            ),
            default=0,
        )
        if read.version < newest:
            yield f"{read.process} returned {read.version} after {newest}"


@CHECKS.register("invalid changes are refused, resent ones are not")
def check_verdicts(history: History) -> Iterator[str]:
    """Find invalid changes that were acknowledged, and valid ones that were refused."""
    for change in history.changes:
        if not change.valid and change.status // 100 == 2:
            yield f"invalid version {change.version} acknowledged"
        if change.valid and change.status // 100 == 4 and change.status != 429:
            yield f"valid version {change.version} got {change.status}"


@CHECKS.register("requests end at their timeout")
def check_held(history: History) -> Iterator[str]:
    """Find gateways that hold requests past the longest timeout of any version.

    Faults of control processes are no excuse: a gateway has the timeout it needs.
    """
    timeout = max((item.timeout for item in history.changes), default=Seconds(0.0))
    reached: Counter[str] = Counter()
    held: Counter[str] = Counter()
    for attempt in history.attempts:
        if attempt.ending in (Ending.NOT_SENT, Ending.LEFT):
            continue
        begin = attempt.sent_at - CONNECTIVITY_SECONDS
        if history.disturbed(attempt.gateway, begin, attempt.ended_at):
            continue
        seconds = attempt.ended_at - attempt.sent_at
        reached[attempt.gateway] += seconds >= timeout
        held[attempt.gateway] += seconds >= timeout + HELD_SECONDS
    for gateway, count in held.items():
        if count >= MIN_HELD and count > HELD_FRACTION * reached[gateway]:
            yield f"{gateway} held {count} of {reached[gateway]} at their timeout"


@CHECKS.register("planned stops cut nothing")
def check_planned_stops(history: History) -> Iterator[str]:
    """Find requests that ran and were cut without an answer, with no kill near."""
    ran = {run.request for run in history.runs}
    for attempt in history.attempts:
        if attempt.ending is not Ending.CLOSED or attempt.request not in ran:
            continue
        killed = any(
            item.cuts
            and item.process == attempt.gateway
            and item.begin < attempt.ended_at
            and attempt.sent_at < item.end
            for item in history.disturbances
        )
        if not killed:
            yield f"{attempt.request} was cut at {attempt.gateway}"


@CHECKS.register("no process ends by itself")
def check_exits(history: History) -> Iterator[str]:
    """Find processes that ended without a signal."""
    for item in history.exits:
        yield f"{item.process} ended with {item.code}"


@CHECKS.register("all serve after the faults")
def check_recovery(history: History) -> Iterator[str]:
    """Find gateways that don't serve once all faults are over."""
    for gateway, served in history.served_at_end.items():
        if served < 10:
            yield f"{gateway} served {served} of 10"


@CHECKS.register("the log takes changes after the faults")
def check_log(history: History) -> Iterator[str]:
    """Find a log that takes no change, or returns another one, after all faults."""
    if not history.changed_at_end:
        yield "no change was acknowledged and read back in time"


def _gateway_name(address: str) -> str:
    """Return the name of the gateway at an address."""
    return f"entry-{address.rpartition('.')[2]}"


def _runs_by_request(history: History) -> dict[str, list[Run]]:
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        runs[run.request].append(run)
    return runs


def _in_touch(history: History, attempt: Attempt, until: float) -> bool:
    """Return whether no fault touched an attempt's gateway or the core."""
    begin = attempt.sent_at - CONNECTIVITY_SECONDS
    return not (
        history.disturbed(attempt.gateway, begin, until)
        or history.disturbed(CORE, begin, until)
    )


def _possible_changes(history: History, sent_at: float, until: float) -> list[Change]:
    """Return the changes that may be in force for a request.

    Those are the newest one acknowledged APPLY_SECONDS before, and all that were sent
    with a higher version until the request ended.
    """
    return _changes_from(history, sent_at - APPLY_SECONDS, until)


def _changes_from(
    history: History, acknowledged_by: float, until: float
) -> list[Change]:
    """Return the newest change acknowledged by a time, and higher ones sent since."""
    valid = [item for item in history.changes if item.valid and item.sent_at <= until]
    acknowledged = [
        item.version
        for item in valid
        if item.status == 200 and item.ended_at < acknowledged_by
    ]
    newest = max(acknowledged, default=0)
    return [item for item in valid if item.version >= newest] if acknowledged else []
