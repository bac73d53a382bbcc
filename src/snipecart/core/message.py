"""Declare typed messages once, for every encoding."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TypeVar
from typing import dataclass_transform

from pydantic import ConfigDict
from pydantic import with_config
from pydantic.alias_generators import to_camel

from .registry import Registry

T = TypeVar("T")

MESSAGES: Registry[str, type[Any]] = Registry("messages")
"""Every message that may travel alone, by its name on the wire."""

_CONFIG = ConfigDict(
    alias_generator=to_camel,
    populate_by_name=True,
    ser_json_bytes="base64",
    val_json_bytes="base64",
)


@dataclass_transform(frozen_default=True)
def record(cls: type[T]) -> type[T]:
    """Declare a frozen part of messages."""
    return with_config(_CONFIG)(dataclass(frozen=True, slots=True)(cls))


@dataclass_transform(frozen_default=True)
def message(cls: type[T]) -> type[T]:
    """Declare a frozen message that may travel alone."""
    made = record(cls)
    return MESSAGES.register(wire_name(made))(made)


def wire_name(cls: type[Any]) -> str:
    """Return a message type's name on the wire."""
    return cls.__name__[0].lower() + cls.__name__[1:]
