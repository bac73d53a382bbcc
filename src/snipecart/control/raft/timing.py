"""Set the spans of time that elections and leases rest on, in seconds."""

from __future__ import annotations

HEARTBEAT_INTERVAL = 0.1
"""A leader confirms its lead this often."""

ELECTION_TIMEOUT_MIN = 1.0
"""A follower that heard its leader this lately votes for nobody."""

ELECTION_TIMEOUT_MAX = 2.0

LEASE_DURATION = 0.8
"""A leader may speak for the quorum this long after it was heard by one.

Shorter than ELECTION_MIN by more than two clocks drift apart in that span.
"""

STEP_DOWN_TIMEOUT = 2.0
"""A leader that no quorum answered for this long gives up its lead."""

REPLACE_VOTER_TIMEOUT = 3.0
"""A voter that answered this lately can't be replaced."""

REMOVE_VOTER_TIMEOUT = 15.0
"""A voter silent for this long makes room for one on another VM."""

REJOIN_TIMEOUT = 3.0
"""A process that heard no leader for this long asks whether it still belongs."""
