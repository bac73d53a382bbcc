"""Test snipecart.wire."""

from __future__ import annotations
