"""Replicate the system's state among the VMs with a disk."""

from __future__ import annotations
