"""Encode typed messages to Cap'n Proto and decode them."""

from __future__ import annotations

from functools import cache
from functools import lru_cache
from pathlib import Path
from typing import Any

import capnp
from expression import Error
from expression import Ok
from expression import Result
from pydantic import TypeAdapter
from pydantic import ValidationError

from .. import messages
from ..core.failures import PeerMessageInvalid
from ..core.message import MESSAGES
from ..core.message import NESTED_CODECS
from ..core.message import PACKED
from ..core.message import payload_size
from ..core.message import record
from ..core.message import wire_name

__all__ = [
    "MAX_FRAME_BYTES",
    "EncodingFailed",
    "Envelope",
    "decode",
    "encode",
    "is_encodable",
    "messages",
]

capnp.remove_import_hook()
SCHEMA = capnp.load(str(Path(__file__).with_name("schema.capnp")))

MAX_FRAME_BYTES = 64 * 1024 * 1024
"""Maximum size of an encoded message."""

MAX_CACHED_BYTES = 4_096
"""Size of the texts and data of a nested message up to which its encoding is kept."""

WORD_BYTES = 8
"""Size of a Cap'n Proto word; an encoded message is a multiple of it.

A packed message is not: a zero byte follows if its size is a multiple by chance.
"""

MAX_PACKED_BYTES = 512
"""Maximum size of a packed message.

Packing shortens zeros to a thousandth at best, so a longer one could take much memory.
Messages that would be longer are sent unpacked.
"""


@record
class Envelope:
    """Store a message and the number that matches its answer to it; 0 for none."""

    correlation: int
    message: Any


@cache
def _adapter(name: str) -> TypeAdapter[Any]:
    return TypeAdapter(MESSAGES.get(name))


class EncodingFailed(ValueError):
    """Report a message with a value that its field can't hold."""


def encode(message: Any, correlation: int = 0) -> bytes:
    """Return a message as a Cap'n Proto frame, without its length prefix.

    Raise EncodingFailed if a value exceeds its field.
    """
    try:
        return _encode(message, correlation)
    except (capnp.KjException, OverflowError, ValueError) as exc:
        reason = str(exc).splitlines()[0]
        raise EncodingFailed(f"{type(message).__name__}: {reason}") from exc


def is_encodable(message: Any) -> bool:
    """Return whether a message can be a field of another one, as in the log."""
    try:
        encode_nested(message)
    except EncodingFailed:
        return False
    return True


def _encode(message: Any, correlation: int) -> bytes:
    name = wire_name(type(message))
    fields = _adapter(name).dump_python(message, by_alias=True)
    envelope = SCHEMA.Envelope.new_message(correlation=correlation, **{name: fields})
    packed = _pad_packed(envelope.to_bytes_packed()) if name in PACKED else b""
    if 0 < len(packed) <= MAX_PACKED_BYTES:
        return packed
    return envelope.to_bytes()


def _pad_packed(frame: bytes) -> bytes:
    return frame if len(frame) % WORD_BYTES else frame + b"\0"


@NESTED_CODECS.register("dump")
def encode_nested(message: Any) -> bytes:
    """Return an encoded message for use as a field of another one.

    Small ones are kept for the next receiver; the large ones would fill the memory.
    """
    if payload_size(message) > MAX_CACHED_BYTES:
        return encode(message)
    return _encode_small(message)


@lru_cache(maxsize=2048)
def _encode_small(message: Any) -> bytes:
    return encode(message)


@NESTED_CODECS.register("load")
def decode_nested(frame: bytes) -> Any:
    """Return a message from a field of another one, or raise ValueError."""
    decoded = decode(frame)
    if decoded.is_error():
        raise ValueError(decoded.error.detail)
    return decoded.ok.message


def decode(frame: bytes) -> Result[Envelope, PeerMessageInvalid]:
    """Return the message in a frame, or PeerMessageInvalid."""
    is_packed = len(frame) % WORD_BYTES != 0
    if len(frame) > (MAX_PACKED_BYTES if is_packed else MAX_FRAME_BYTES):
        return Error(PeerMessageInvalid(f"invalid frame size: {len(frame)} bytes"))
    try:
        if is_packed:
            return Ok(_decode_packed(frame))
        with SCHEMA.Envelope.from_bytes(
            frame, traversal_limit_in_words=MAX_FRAME_BYTES // WORD_BYTES
        ) as envelope:
            return Ok(_read_envelope(envelope))
    except (capnp.KjException, ValidationError, ValueError) as exc:
        return Error(PeerMessageInvalid(str(exc).splitlines()[0]))


def _decode_packed(frame: bytes) -> Envelope:
    """Return the message in a packed frame, or raise ValueError."""
    envelope = SCHEMA.Envelope.from_bytes_packed(
        frame, traversal_limit_in_words=MAX_FRAME_BYTES // WORD_BYTES
    )
    if str(envelope.which()) not in PACKED:
        raise ValueError("packed message of a type that is not")
    return _read_envelope(envelope)


def _read_envelope(envelope: Any) -> Envelope:
    name = str(envelope.which())
    fields = getattr(envelope, name).to_dict()
    correlation = int(envelope.correlation)
    return Envelope(correlation, _adapter(name).validate_python(fields))
