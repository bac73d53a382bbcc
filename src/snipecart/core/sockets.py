"""Query sockets without reading from them."""

from __future__ import annotations

import select

PEER_CLOSED_EVENTS = (
    select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
)
"""Events of a socket whose peer has closed the connection, or that is closed itself."""


def has_peer_closed(descriptor: int) -> bool:
    """Return whether the peer of a connection has closed it."""
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return any(events & PEER_CLOSED_EVENTS for _, events in poll.poll(0))
