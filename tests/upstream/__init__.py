"""Test the exchange of requests and answers with backend servers."""

from __future__ import annotations
