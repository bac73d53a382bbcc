"""Define the failures of documents that operators write."""

from __future__ import annotations

from dataclasses import dataclass

from .base import Failure


@dataclass(frozen=True)
class Fault:
    """Describe one fault in a JSON document by its path, kind and explanation."""

    path: str
    kind: str
    reason: str


@dataclass(frozen=True)
class TextInvalid(Failure):
    """Reject a whole document with all its faults."""

    faults: tuple[Fault, ...] = ()


@dataclass(frozen=True)
class SettingsInvalid(Failure):
    """Reject a settings file with all its faults."""

    faults: tuple[Fault, ...] = ()
