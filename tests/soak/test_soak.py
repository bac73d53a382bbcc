"""Test the programs by short soaks with fixed seeds; failed seeds stay here."""

from __future__ import annotations

import pytest

from .run import soak

SECONDS = 20.0
FAILED_SEEDS = {
    11: "a connection that sent nothing blocked a gateway's HTTP server",
    12: "the same, beside servers that fail",
}
"""Seeds that failed once, and why."""


@pytest.mark.parametrize("seed", list(FAILED_SEEDS))
def test_a_short_soak_finds_no_violation(seed, tmp_path):
    report = soak(seed, SECONDS, tmp_path)
    assert report.passed, "\n".join(report.lines())
    assert report.runs > 0
    assert report.changes > 0
