"""Score names for a key, so that all processes choose the same without a message."""

from __future__ import annotations

from hashlib import blake2b
from math import log
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

HASH_SPACE = float(1 << 64)
"""Number of values of an 8-byte digest."""

MIN_WEIGHT = 1e-6
"""Weight of a name that has no share, so that it ranks last."""


def scores_of(key: str) -> Callable[[bytes, float], float]:
    """Return the function that scores encoded names, by their weights, for a key."""
    prefix = f"{key}\n".encode()

    def score(name: bytes, weight: float) -> float:
        digest = blake2b(prefix + name, digest_size=8).digest()
        uniform = (int.from_bytes(digest, "big") + 0.5) / HASH_SPACE
        return -(weight if weight > MIN_WEIGHT else MIN_WEIGHT) / log(uniform)

    return score


def rendezvous_score(key: str, name: str, weight: float) -> float:
    """Return a rendezvous score; names score highest in proportion to their weight."""
    return scores_of(key)(name.encode(), weight)
