"""Test that each check of the soak finds a planted violation, and nothing else."""

from __future__ import annotations

from dataclasses import replace

import pytest

from snipecart.core.registry import Registry

from .checks import CHECKS
from .checks import CORE
from .history import Attempt
from .history import Change
from .history import Disturbance
from .history import Drained
from .history import Ending
from .history import Evacuation
from .history import History
from .history import OwnExit
from .history import Pause
from .history import PowerLoss
from .history import ReadBack
from .history import Run
from .servers import sign

TEXT = b"/issue/a|body"
ATTEMPT = Attempt(
    "a",
    "entry-1",
    False,
    "/issue/a",
    b"body",
    100.0,
    100.1,
    Ending.ANSWERED,
    200,
    sign("a", "i-1", TEXT),
    TEXT,
)
RUN = Run("a", "i-1", "racks", "127.0.0.1", "/issue/a", b"body", 100.05, 200)
CHANGE = Change(1, "racks", 1.0, True, 10.0, 10.1, 200)
MOVED = replace(ATTEMPT, path="/move/a", idempotent=True)
MOVED_RUN = replace(RUN, path="/move/a", service="bins")
HELD = [
    replace(
        ATTEMPT, request=f"h{at}", ended_at=101.6, ending=Ending.UNANSWERED, status=0
    )
    for at in range(8)
]

PLANTED: Registry[str, list] = Registry("planted violations")
"""Records that violate the check of the same name."""

for name, records in {
    "at most once": [ATTEMPT, RUN, replace(RUN, server="i-2")],
    "refusals are true": [replace(ATTEMPT, status=503), RUN],
    "own and whole answers": [replace(ATTEMPT, answer=TEXT[:-1]), RUN],
    "requests unchanged": [ATTEMPT, replace(RUN, body=b"bod")],
    "drained servers get nothing": [Drained("i-1", 98.0), ATTEMPT, RUN],
    "servers that say in answers that they leave get nothing": [
        replace(ATTEMPT, request="b", sent_at=90.0, ended_at=90.1, status=0),
        replace(RUN, request="b", said_leaving=True, at=90.05),
        ATTEMPT,
        RUN,
    ],
    "pauses are kept": [
        Pause("i-1", "127.0.2.1", 100.0, 1.5),
        *[
            replace(RUN, gateway="127.0.2.1", at=100.6 + at / 10, request=f"p{at}")
            for at in range(3)
        ],
    ],
    "named limits hold in sum": [
        replace(
            RUN, gateway=f"127.0.2.{at % 3}", limit=5.0, at=at / 10, request=f"n{at}"
        )
        for at in range(100)
    ],
    "cold servers get no more than they take": [
        record
        for at in range(10)
        for record in (
            replace(ATTEMPT, request=f"c{at}", sent_at=100 + at / 11, status=0),
            replace(
                RUN,
                request=f"c{at}",
                gateway=f"127.0.2.{at % 3}",
                cold_rate=3.0,
                at=100.05 + at / 11,
            ),
        )
    ],
    "evacuated zones get nothing": [
        Evacuation("north-a", 90.0, 110.0, 110.1, 110.2),
        ATTEMPT,
        replace(RUN, zone="north-a"),
    ],
    "zones are used again after an evacuation": [
        Evacuation("north-a", 90.0, 95.0, 95.1, float("inf")),
    ],
    "changes in force": [CHANGE, replace(MOVED, status=0), MOVED_RUN],
    "no older version serves after a loss of power": [
        CHANGE,
        PowerLoss(20.0, 99.0),
        Disturbance("entry-1", "lose power", 20.0, 105.0, True),
        replace(MOVED, status=0),
        MOVED_RUN,
    ],
    "no older version is read": [
        CHANGE,
        replace(CHANGE, version=5),
        ReadBack("control-1", 100.0, 200, 1),
    ],
    "invalid changes are refused, resent ones are not": [replace(CHANGE, valid=False)],
    "requests end at their timeout": [CHANGE, *HELD],
    "planned stops cut nothing": [
        replace(ATTEMPT, ending=Ending.CLOSED, status=0),
        RUN,
        Disturbance("entry-1", "planned stop", 99.0, 105.0, False),
    ],
    "no process ends by itself": [OwnExit("entry-1", 1, 50.0)],
}.items():
    PLANTED.register(name)(records)


def make_history(records):
    history = History()
    for record in records:
        history.add(record)
    return history


def violated(history):
    """Return the names of the checks that find a violation."""
    return {name for name in CHECKS if list(CHECKS.get(name)(history))}


@pytest.mark.parametrize("name", list(PLANTED))
def test_a_planted_violation_is_found_by_its_check(name):
    assert violated(make_history(PLANTED.get(name))) == {name}


def test_a_gateway_that_serves_too_little_at_the_end_is_found():
    history = History(served_at_end={"entry-1": 9, "entry-2": 10})
    assert violated(history) == {"all serve after the faults"}


def test_a_log_that_takes_no_change_at_the_end_is_found():
    history = History(changed_at_end=False)
    assert violated(history) == {"the log takes changes after the faults"}


def test_every_check_has_a_planted_violation():
    at_end = {"all serve after the faults", "the log takes changes after the faults"}
    assert {*PLANTED, *at_end} == set(CHECKS)


def test_a_history_that_keeps_all_promises_violates_no_check():
    history = make_history([CHANGE, ATTEMPT, RUN])
    history.served_at_end["entry-1"] = 10
    assert violated(history) == set()


@pytest.mark.parametrize(
    ("name", "process"),
    [
        ("changes in force", "entry-1"),
        ("changes in force", CORE),
        ("requests end at their timeout", "entry-1"),
        ("evacuated zones get nothing", "entry-1"),
    ],
)
def test_gateways_out_of_touch_are_excused(name, process):
    records = [*PLANTED.get(name), Disturbance(process, "freeze", 98.0, 99.0, True)]
    assert violated(make_history(records)) == set()


def test_killed_gateways_may_cut_requests():
    records = PLANTED.get("planned stops cut nothing")
    kill = Disturbance("entry-1", "kill", 100.0, 101.0, True)
    assert violated(make_history([*records, kill])) == set()


def test_an_older_service_is_allowed_until_a_change_is_in_force():
    later = replace(CHANGE, version=2, service="bins", sent_at=99.0, ended_at=99.1)
    history = make_history([CHANGE, later, MOVED, MOVED_RUN])
    assert "changes in force" not in violated(history)
