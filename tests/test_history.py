"""Test that the check of histories accepts valid and rejects invalid ones."""

from __future__ import annotations

import pytest

from .history import History
from .history import NotLinearizable
from .history import Operation


def check(*operations: Operation) -> None:
    """Check a history of the given operations."""
    History(list(operations)).check()


def test_a_good_history_passes():
    check(
        Operation(0, 3, 5, 0),
        Operation(1, 2, 5),
        Operation(4, 5, 5),
        Operation(4, 6, 7, 5),
        Operation(5, 7, 7),
    )


@pytest.mark.parametrize(
    "operations",
    [
        (Operation(0, 1, 5, 0), Operation(2, 3, 7, 5), Operation(4, 5, 5)),
        (Operation(0, 1, 5, 0), Operation(2, 3, 6, 0)),
        (Operation(0, 1, 5, 0), Operation(0, 1, 5, 0)),
        (Operation(0, 1, 5, 0), Operation(2, 3, 9)),
    ],
    ids=["stale read", "two from one base", "one version twice", "never written"],
)
def test_a_bad_history_is_found(operations):
    with pytest.raises(NotLinearizable):
        check(*operations)
