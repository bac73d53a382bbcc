"""Test the programs by short soaks with fixed seeds; failed seeds stay here."""

from __future__ import annotations

from .run import soak

SECONDS = 20.0
SEED = 11


def test_a_short_soak_finds_no_violation(tmp_path):
    report = soak(SEED, SECONDS, tmp_path)
    assert report.passed, "\n".join(report.lines())
    assert report.runs > 0
    assert report.changes > 0


def test_connections_that_send_nothing_hold_no_requests_of_a_gateway(tmp_path):
    """Seeds 11 and 12 failed by this: the HTTP server's own thread was blocked."""
    report = soak(12, SECONDS, tmp_path, faults=["silent clients"])
    assert report.passed, "\n".join(report.lines())
    assert report.faults["silent clients"] > 0
