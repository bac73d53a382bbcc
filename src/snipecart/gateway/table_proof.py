"""Update the proof that the routing table of a gateway is current."""

from __future__ import annotations

from math import isfinite
from typing import TYPE_CHECKING

from ..core.events import KEY_PROOF_GAINED
from ..core.events import KEY_PROOF_LOST
from ..core.events import emit
from .key_lease import TableProver
from .key_lease import describe_age_ms
from .metrics import TABLE_PROOF_AGE

if TYPE_CHECKING:
    from ..core.ids import Instant
    from ..messages.discovery import SyncAnswer
    from .balancing.routes import RouteIndex
    from .key_lease import KeyLease


class ProofUpdater:
    """Update the proof of a lease from the answers of control processes.

    Owned by the sync task.
    """

    def __init__(self) -> None:
        self._prover = TableProver()
        self._lapsed = False
        """Whether the lack of a recent proof has been logged."""

    def record(self, answer: SyncAnswer) -> None:
        """Record what the log of a control process contained when it answered."""
        self._prover.record(answer.sent_at, answer.witness)

    def adopt_voters(self, answer: SyncAnswer, now: Instant) -> None:
        """Use the voters of the membership that an answer names."""
        self._prover.adopt_voters(answer.control_index, answer.voters, now)

    def update(
        self, lease: KeyLease, index: RouteIndex | None, now: Instant, *, complete: bool
    ) -> None:
        """Update the proof; log when it lapses, and when it is back.

        A gateway whose list of servers isn't complete yet does not log its lack.
        """
        if not lease.seconds or index is None:
            return
        version = index.routing.version
        lease.proof = self._prover.prove(version)
        age = lease.proof_age(index, now)
        TABLE_PROOF_AGE.set(age if isfinite(age) else -1)
        lapsed = complete and lease.lacks_proof(index, now)
        if lapsed != self._lapsed:
            self._lapsed = lapsed
            event = KEY_PROOF_LOST if lapsed else KEY_PROOF_GAINED
            emit(event, version=version, age_ms=describe_age_ms(age))
