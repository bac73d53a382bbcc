"""Test that the history checker finds what it should."""

from __future__ import annotations

import pytest

from .history import History
from .history import NotLinearizable
from .history import Seen


def check(*seen: Seen) -> None:
    """Check a history."""
    History(list(seen)).check()


def test_a_good_history_passes():
    check(
        Seen(0, 3, 5, 0), Seen(1, 2, 5), Seen(4, 5, 5), Seen(4, 6, 7, 5), Seen(5, 7, 7)
    )


@pytest.mark.parametrize(
    "seen",
    [
        (Seen(0, 1, 5, 0), Seen(2, 3, 7, 5), Seen(4, 5, 5)),
        (Seen(0, 1, 5, 0), Seen(2, 3, 6, 0)),
        (Seen(0, 1, 5, 0), Seen(0, 1, 5, 0)),
        (Seen(0, 1, 5, 0), Seen(2, 3, 9)),
    ],
    ids=["stale read", "two from one base", "one version twice", "never written"],
)
def test_a_bad_history_is_found(seen):
    with pytest.raises(NotLinearizable):
        check(*seen)
