"""Test the package snipecart.control."""

from __future__ import annotations
