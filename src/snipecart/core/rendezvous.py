"""Score names for a key, so that all processes choose the same without a message."""

from __future__ import annotations

import math
from hashlib import blake2b

HASH_SPACE = float(1 << 64)
"""Number of values of an 8-byte digest."""

MIN_WEIGHT = 1e-6
"""Weight of a name that has no share, so that it ranks last."""


def rendezvous_score(key: str, name: str, weight: float) -> float:
    """Return a rendezvous score; names score highest in proportion to their weight."""
    digest = blake2b(f"{key}\n{name}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 0.5) / HASH_SPACE
    return -max(weight, MIN_WEIGHT) / math.log(uniform)
