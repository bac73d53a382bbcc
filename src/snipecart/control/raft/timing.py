"""Define the timeouts of elections, leases and membership changes, in seconds."""

from __future__ import annotations

HEARTBEAT_INTERVAL = 0.1
"""Interval between a leader's heartbeats to each peer."""

ELECTION_TIMEOUT_MIN = 1.0
"""Minimum election timeout.

A process that heard from its leader within this time rejects vote requests.
"""

ELECTION_TIMEOUT_MAX = 2.0

LEASE_DURATION = 0.8
"""Time for which a leader holds its lease after a quorum confirmed it.

Shorter than ELECTION_TIMEOUT_MIN by more than two clocks drift apart in that time.
"""

STEP_DOWN_TIMEOUT = 2.0
"""Time without answers from a quorum after which a leader becomes a follower."""

REPLACE_VOTER_TIMEOUT = 3.0
"""Time without a sign of life after which a voter may be replaced.

A voter that only paused for longer joins again, so removing one too early costs less
than a quorum that counts one that is gone.
"""

FORGET_LEARNER_TIMEOUT = 15.0
"""Time without a sign of life after which a learner is removed.

Longer than a snapshot takes, during which it answers nothing.
"""

SILENCE_THRESHOLD = 1.0
"""Time without a sign of life after which a leader reports a voter as silent."""

NEW_LEADER_GRACE = 1.0
"""Time for which a new leader waits for answers before it replaces any voter."""

REJOIN_TIMEOUT = 3.0
"""Time without contact to a leader after which a process asks to join again.

The log may have removed it in the meantime.
"""
