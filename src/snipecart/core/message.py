"""Provide decorators that declare typed messages once, for every encoding."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import fields
from dataclasses import is_dataclass
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any
from typing import TypeVar
from typing import dataclass_transform

from pydantic import ConfigDict
from pydantic import PlainSerializer
from pydantic import PlainValidator
from pydantic import with_config
from pydantic.alias_generators import to_camel

from .registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

MESSAGES: Registry[str, type[Any]] = Registry("messages")
"""All message types that may be sent on their own, by their name on the wire."""

_CONFIG = ConfigDict(
    alias_generator=to_camel,
    populate_by_name=True,
    ser_json_bytes="base64",
    val_json_bytes="base64",
)


@dataclass_transform(frozen_default=True)
def record(cls: type[T]) -> type[T]:
    """Declare a frozen data class that is a part of messages."""
    return with_config(_CONFIG)(dataclass(frozen=True, slots=True)(cls))


@dataclass_transform(frozen_default=True)
def message(cls: type[T]) -> type[T]:
    """Declare a frozen message type that may be sent on its own."""
    record_type = record(cls)
    return MESSAGES.register(wire_name(record_type))(record_type)


PACKED: Registry[str, type[Any]] = Registry("packed messages")
"""Short messages that are sent without their zero bytes, by their name on the wire."""


def packed(cls: type[T]) -> type[T]:
    """Declare that a message type is small and sent often, so it is packed.

    Only for messages whose receiver is known to unpack them.
    """
    return PACKED.register(wire_name(cls))(cls)


NESTED_CODECS: Registry[str, Callable[[Any], Any]] = Registry(
    "codecs of nested messages"
)
"""Functions ``dump`` and ``load``, registered by the encoding for nested messages."""

Nested = Annotated[
    Any,
    PlainSerializer(lambda value: NESTED_CODECS.get("dump")(value)),
    PlainValidator(lambda value: NESTED_CODECS.get("load")(value)),
]
"""Message of any type, encoded within another one."""


def payload_size(value: Any) -> int:
    """Return the bytes of all texts and data in a message, without its encoding."""
    if isinstance(value, bytes | str):
        return len(value)
    if isinstance(value, tuple):
        return sum(payload_size(item) for item in value)
    if is_dataclass(value):
        return sum(payload_size(getattr(value, item.name)) for item in fields(value))
    return 0


def wire_name(cls: type[Any]) -> str:
    """Return a message type's name on the wire."""
    return cls.__name__[0].lower() + cls.__name__[1:]
