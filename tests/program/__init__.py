"""Test the package snipecart.program."""

from __future__ import annotations
