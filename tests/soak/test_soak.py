"""Test the programs by short soaks with fixed seeds; failed seeds stay here."""

from __future__ import annotations

from .run import ALL_FAULTS
from .run import soak

SECONDS = 20.0
NEW_SECONDS = 10.0
SEED = 11

LATER_FAULTS = ("spoil load reports", "answer without end", "deliver a heartbeat late")
"""Faults that seed 11 did not draw from when it failed."""

NEW_FAULTS = (
    "replace a control VM",
    "replace a control VM as planned",
    "lose a control disk",
    "control disk refuses writes",
    "lose power",
    "evacuate a zone",
    "cold servers",
)
"""Faults that the other cases don't draw from, so that these keep theirs."""

EARLIER_FAULTS = tuple(
    name for name in ALL_FAULTS if name not in (*LATER_FAULTS, *NEW_FAULTS)
)


def test_a_short_soak_finds_no_violation(tmp_path):
    report = soak(SEED, SECONDS, tmp_path, faults=EARLIER_FAULTS)
    assert report.passed, "\n".join(report.lines())
    assert report.runs > 0
    assert report.changes > 0


def test_late_heartbeats_bad_reports_and_endless_answers_break_no_promise(tmp_path):
    faults = (*LATER_FAULTS, "kill all control processes", "kill a gateway")
    report = soak(13, SECONDS, tmp_path, faults=faults)
    assert report.passed, "\n".join(report.lines())
    assert any(report.faults[name] for name in LATER_FAULTS)


def test_connections_that_send_nothing_hold_no_requests_of_a_gateway(tmp_path):
    """Seeds 11 and 12 failed by this: the HTTP server's own thread was blocked."""
    report = soak(12, SECONDS, tmp_path, faults=["silent clients"])
    assert report.passed, "\n".join(report.lines())
    assert report.faults["silent clients"] > 0


def test_lost_vms_disks_and_power_and_evacuations_break_no_promise(tmp_path):
    report = soak(21, NEW_SECONDS, tmp_path, controls=5, faults=NEW_FAULTS)
    assert report.passed, "\n".join(report.lines())
    assert report.disturbances
