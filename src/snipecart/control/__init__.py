"""Keep the system's state on the VMs with a disk."""

from __future__ import annotations
