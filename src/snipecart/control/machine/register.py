"""Store the accepted configuration; a submission must be based on its version."""

from __future__ import annotations

import hashlib

from ...core.ids import Digest
from ...core.ids import TextVersion
from ...core.states import SubmitVerdict
from ...messages.commands import Entry
from ...messages.commands import SubmitAnswer
from ...messages.commands import SubmitText
from .state import APPLIERS
from .state import MachineState
from .state import Submission

MAX_SUBMISSIONS = 4096
"""Submission ids whose first answer is kept; the oldest are removed first.

An older resend gets a version conflict, as its base is no longer current.
"""


@APPLIERS.register(SubmitText)
def apply_submit(
    state: MachineState, command: SubmitText, entry: Entry
) -> SubmitAnswer:
    """Accept a configuration whose base is the accepted version."""
    digest = Digest(hashlib.sha256(command.text).hexdigest())
    original = state.submissions.get(command.submission)
    if original is not None:
        return _answer_resend(original, digest)
    if command.base != state.version:
        verdict = SubmitVerdict.VERSION_CONFLICT
    else:
        verdict = SubmitVerdict.ACCEPTED
        state.version = TextVersion(entry.index)
        state.text = command.text
    answer = SubmitAnswer(command.submission, verdict, state.version)
    state.submissions[command.submission] = Submission(digest, answer)
    while len(state.submissions) > MAX_SUBMISSIONS:
        del state.submissions[next(iter(state.submissions))]
    return answer


def _answer_resend(original: Submission, digest: Digest) -> SubmitAnswer:
    if original.digest == digest:
        return original.answer
    reused = SubmitVerdict.SUBMISSION_REUSED
    return SubmitAnswer(original.answer.submission, reused, original.answer.version)
