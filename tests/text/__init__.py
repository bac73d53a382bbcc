"""Test snipecart.text."""

from __future__ import annotations
