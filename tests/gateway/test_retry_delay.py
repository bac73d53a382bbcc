"""Test the retry delay that rejected clients get."""

from __future__ import annotations

from random import Random

from snipecart.gateway.pipeline import choose_retry_after


def retry_delays(wait_ms):
    """Return the retry delays of many clients."""
    rng = Random(7)
    return [choose_retry_after(rng, wait_ms) for _ in range(500)]


def test_clients_with_short_timeouts_retry_soon():
    delays = retry_delays(1500)
    assert min(delays) >= 0.4
    assert max(delays) <= 1.2


def test_retries_of_clients_with_long_timeouts_are_spread_over_a_quarter_of_them():
    delays = retry_delays(8000)
    assert max(delays) > 2.0
    assert max(delays) <= 2.4
    assert sum(delay < 1.4 for delay in delays) < 300
