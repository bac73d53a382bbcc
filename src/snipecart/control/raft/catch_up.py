"""Tell when a process has all that was committed before it started."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .state import CatchUpPoint

if TYPE_CHECKING:
    from ...messages.raft import AppendRequest
    from .state import RaftState


def check_catch_up_point(state: RaftState, req: AppendRequest) -> None:
    """Check whether the entries committed before the start have been received.

    A leader that a quorum still followed after its first request had all of them then.
    One that no quorum follows may lack those of a newer leader.
    """
    if state.caught_up:
        return
    point = state.catch_up_point
    if point is None or point.term != req.term:
        point = CatchUpPoint(req.term, req.sent, req.commit)
        state.catch_up_point = point
    if req.confirmed >= point.sent and state.commit >= point.commit:
        check_caught_up(state)


def check_caught_up(state: RaftState) -> None:
    """Record that no earlier committed entry is missing, if the last is of this term.

    A leader commits an entry of its own term only after all entries before it.
    """
    if state.log.term_at(state.commit) == state.term:
        state.caught_up = True
