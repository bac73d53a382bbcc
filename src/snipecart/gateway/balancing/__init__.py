"""Select backend servers for requests, independently of sockets and threads."""

from __future__ import annotations
