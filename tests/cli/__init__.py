"""Test the package snipecart.cli."""

from __future__ import annotations
