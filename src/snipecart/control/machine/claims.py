"""Store one claim for each request key, and its outcome."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ...core.states import ClaimState
from ...core.states import ClaimVerdict
from ...messages.commands import ClaimAnswer
from ...messages.commands import ClaimClosed
from ...messages.commands import ClaimKey
from ...messages.commands import Entry
from ...messages.commands import RecordOutcome
from ...messages.commands import SealNotRun
from .state import APPLIERS
from .state import BUCKET_MS
from .state import NO_ANSWER
from .state import Claim
from .state import MachineState
from .state import claim_identity

if TYPE_CHECKING:
    from ...core.ids import UnixMillis

CLAIM_LIFETIME_MS = 6 * 3600 * 1000
"""Milliseconds from the issue of a key until its claim is removed.

A key carries its time of issue, so a later resend is rejected as expired.
"""

MAX_CLOCK_SKEW_MS = 60_000
"""Milliseconds by which a caller's clock may run ahead."""


@APPLIERS.register(ClaimKey)
def apply_claim(state: MachineState, command: ClaimKey, entry: Entry) -> ClaimAnswer:
    """Grant a key to the first attempt that claims it, and to no other."""
    _remove_expired(state)
    claim = state.claims.get(claim_identity(command.scope, command.key))
    if claim is not None:
        return ClaimAnswer(command.key, _check_existing(claim, command), claim.answer)
    verdict = _check_age(state, command.issued)
    if verdict is ClaimVerdict.GRANTED:
        _add_claim(state, command, ClaimState.HELD)
    return ClaimAnswer(command.key, verdict, NO_ANSWER)


def _check_existing(claim: Claim, command: ClaimKey) -> ClaimVerdict:
    if claim.digest != command.digest:
        return ClaimVerdict.OTHER_BODY
    if claim.state is ClaimState.ANSWERED:
        return ClaimVerdict.ANSWERED
    if claim.state is ClaimState.NOT_RUN:
        return ClaimVerdict.NOT_RUN
    if claim.attempt == command.attempt:
        return ClaimVerdict.GRANTED
    return ClaimVerdict.HELD_ELSEWHERE


def _check_age(state: MachineState, issued: UnixMillis) -> ClaimVerdict:
    if issued < state.now - CLAIM_LIFETIME_MS:
        return ClaimVerdict.KEY_EXPIRED
    if issued > state.now + MAX_CLOCK_SKEW_MS:
        return ClaimVerdict.KEY_FROM_FUTURE
    return ClaimVerdict.GRANTED


def _add_claim(
    state: MachineState, command: ClaimKey | SealNotRun, claim_state: ClaimState
) -> None:
    claim = Claim(
        command.key,
        command.scope,
        command.digest,
        command.attempt,
        command.issued,
        claim_state,
        NO_ANSWER,
    )
    state.claims[claim.identity] = claim
    state.buckets.setdefault(claim.issued // BUCKET_MS, []).append(claim.identity)


def _remove_expired(state: MachineState) -> None:
    oldest_kept = (state.now - CLAIM_LIFETIME_MS) // BUCKET_MS
    for bucket in [minute for minute in state.buckets if minute < oldest_kept]:
        for identity in state.buckets.pop(bucket):
            del state.claims[identity]


@APPLIERS.register(RecordOutcome)
def apply_outcome(
    state: MachineState, command: RecordOutcome, entry: Entry
) -> ClaimClosed:
    """Record the answer in the claim that the attempt holds."""
    identity = claim_identity(command.scope, command.key)
    claim = state.claims.get(identity)
    if claim is None or claim.attempt != command.attempt:
        return ClaimClosed(command.key, done=False)
    if claim.state is ClaimState.HELD:
        state.claims[identity] = replace(
            claim, state=ClaimState.ANSWERED, answer=command.answer
        )
    return ClaimClosed(command.key, state.claims[identity].answer == command.answer)


@APPLIERS.register(SealNotRun)
def apply_seal(state: MachineState, command: SealNotRun, entry: Entry) -> ClaimClosed:
    """Seal the key as not run, unless another attempt holds it."""
    identity = claim_identity(command.scope, command.key)
    claim = state.claims.get(identity)
    if claim is None:
        fresh = _check_age(state, command.issued) is ClaimVerdict.GRANTED
        if fresh:
            _add_claim(state, command, ClaimState.NOT_RUN)
        return ClaimClosed(command.key, fresh)
    if claim.attempt == command.attempt and claim.state is ClaimState.HELD:
        state.claims[identity] = replace(claim, state=ClaimState.NOT_RUN)
    return ClaimClosed(command.key, state.claims[identity].state is ClaimState.NOT_RUN)
