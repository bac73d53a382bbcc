"""Encode messages and exchange them between the processes of the system."""

from __future__ import annotations
