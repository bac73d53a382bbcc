"""Test the replicated log while control VMs are replaced, under faults from seeds."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from .open_cluster import OpenCluster
from .open_schedules import OPEN_SCHEDULES
from .open_schedules import run_open_schedule
from .test_log import SIMULATION


@settings(SIMULATION, max_examples=80)
@given(faults=OPEN_SCHEDULES, seed=st.integers(0, 2**32))
def test_the_log_outlasts_vms_that_are_replaced_under_faults(faults, seed):
    run_open_schedule(OpenCluster(seed), faults)
