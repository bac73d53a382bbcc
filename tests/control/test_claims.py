"""Test the claims of request keys."""

from __future__ import annotations

from snipecart.control.machine.claims import CLAIM_LIFETIME_MS
from snipecart.control.machine.claims import MAX_CLOCK_SKEW_MS
from snipecart.control.machine.state import MachineState
from snipecart.control.machine.state import apply_entry
from snipecart.control.machine.state import dump_state
from snipecart.control.machine.state import load_state
from snipecart.core.states import ClaimVerdict
from snipecart.messages.commands import ClaimKey
from snipecart.messages.commands import Entry
from snipecart.messages.commands import RecordedAnswer
from snipecart.messages.commands import RecordOutcome
from snipecart.messages.commands import SealNotRun

START = 10_000_000_000
ANSWER = RecordedAnswer(200, "t", b"\xff\x00whole")


class Machine:
    """Apply commands to one replicated state."""

    def __init__(self) -> None:
        self.state = MachineState()
        self.index = 0

    def apply(self, command, at: int = START):
        self.index += 1
        return apply_entry(self.state, Entry(self.index, 1, at, command))

    def claim(self, attempt="x", digest="d", issued=START, at=START):
        command = ClaimKey("k", "caller", digest, attempt, "m", issued)
        return self.apply(command, at).verdict


def test_a_key_is_granted_to_one_attempt():
    machine = Machine()
    assert machine.claim("x") is ClaimVerdict.GRANTED
    assert machine.claim("x") is ClaimVerdict.GRANTED
    assert machine.claim("y") is ClaimVerdict.HELD_ELSEWHERE
    assert machine.claim("y", digest="other") is ClaimVerdict.OTHER_BODY


def test_a_resend_gets_the_whole_recorded_answer():
    machine = Machine()
    machine.claim("x")
    assert machine.apply(RecordOutcome("k", "caller", "x", ANSWER)).done
    resend = machine.apply(ClaimKey("k", "caller", "d", "y", "m", START))
    assert (resend.verdict, resend.answer) == (ClaimVerdict.ANSWERED, ANSWER)


def test_only_the_holder_records_and_seals():
    machine = Machine()
    machine.claim("x")
    assert not machine.apply(RecordOutcome("k", "caller", "y", ANSWER)).done
    assert not machine.apply(SealNotRun("k", "caller", "d", "y", START)).done
    assert machine.apply(SealNotRun("k", "caller", "d", "x", START)).done
    assert not machine.apply(RecordOutcome("k", "caller", "x", ANSWER)).done
    assert machine.claim("z") is ClaimVerdict.NOT_RUN


def test_a_claim_after_the_seal_of_its_attempt_is_not_granted():
    machine = Machine()
    assert machine.apply(SealNotRun("k", "caller", "d", "x", START)).done
    assert machine.claim("x") is ClaimVerdict.NOT_RUN


def test_an_expired_key_is_never_granted_again():
    machine = Machine()
    machine.claim("x")
    later = START + CLAIM_LIFETIME_MS + 120_000
    assert machine.claim("y", at=later) is ClaimVerdict.KEY_EXPIRED
    assert not machine.state.claims
    seal = SealNotRun("k", "caller", "d", "z", START)
    assert not machine.apply(seal, later).done


def test_a_key_from_the_future_is_refused():
    machine = Machine()
    issued = START + MAX_CLOCK_SKEW_MS + 1
    assert machine.claim(issued=issued) is ClaimVerdict.KEY_FROM_FUTURE


def test_a_snapshot_keeps_claims_and_answers():
    machine = Machine()
    machine.claim("x")
    machine.apply(RecordOutcome("k", "caller", "x", ANSWER))
    assert load_state(dump_state(machine.state)) == machine.state
