"""Read and write files of records with checksums."""

from __future__ import annotations

import os
import struct
import zlib
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import BinaryIO

from expression import Error
from expression import Ok
from expression import Result

from ...core.failures import LogCorrupt
from ...wire.codec import decode
from ...wire.codec import encode

if TYPE_CHECKING:
    from pathlib import Path

HEADER = struct.Struct("<III")
"""Length of the payload, its CRC-32, and the CRC-32 of these two fields."""

CHECKED_HEADER = struct.Struct("<II")
"""Fields of HEADER that its last CRC-32 covers."""


@dataclass(frozen=True)
class ParsedRecord:
    """Store one decoded record and the byte offset of its end."""

    message: Any
    end: int


@dataclass(frozen=True)
class FileRecords:
    """Store the records of a file.

    ``end`` is the byte offset after the last complete record, and ``torn`` whether an
    invalid one follows it.
    """

    messages: tuple[Any, ...]
    end: int
    torn: bool


def encode_record(message: Any) -> bytes:
    """Encode a message as a record with its header."""
    payload = encode(message)
    lengths = CHECKED_HEADER.pack(len(payload), zlib.crc32(payload))
    return lengths + zlib.crc32(lengths).to_bytes(4, "little") + payload


def read_records(path: Path) -> Result[FileRecords, LogCorrupt]:
    """Read the records of a file; fail with LogCorrupt.

    An invalid record at the end of the file is a torn write. If a valid record follows
    it, the file is corrupt.
    """
    data = path.read_bytes() if path.exists() else b""
    messages: list[Any] = []
    at = 0
    while at < len(data):
        record = _parse_record(data, at)
        if record is None:
            if any(_parse_record(data, later) for later in range(at + 1, len(data))):
                return Error(LogCorrupt(f"{path.name} at byte {at}"))
            return Ok(FileRecords(tuple(messages), at, torn=True))
        messages.append(record.message)
        at = record.end
    return Ok(FileRecords(tuple(messages), at, torn=False))


def _parse_record(data: bytes, at: int) -> ParsedRecord | None:
    """Return the complete record at a byte offset, or None."""
    start = at + HEADER.size
    if len(data) < start:
        return None
    length, checksum, header_checksum = HEADER.unpack_from(data, at)
    if zlib.crc32(data[at : at + CHECKED_HEADER.size]) != header_checksum:
        return None
    payload = data[start : start + length]
    if len(payload) < length or zlib.crc32(payload) != checksum:
        return None
    envelope = decode(payload)
    return (
        ParsedRecord(envelope.ok.message, start + length) if envelope.is_ok() else None
    )


def write_all(stream: BinaryIO, data: bytes) -> None:
    """Write all bytes to an unbuffered file; raise OSError on a partial write."""
    written = stream.write(data)
    if written != len(data):
        raise OSError(f"wrote {written} of {len(data)} bytes")


def sync_file(stream: BinaryIO) -> None:
    """Flush a file and sync its data to disk."""
    stream.flush()
    os.fdatasync(stream.fileno())


def sync_folder(folder: Path) -> None:
    """Sync the entries of a folder to disk."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, data: bytes) -> None:
    """Replace a file atomically.

    After a crash at any point it has either the old or the new content.
    """
    temporary = path.with_name(path.name + ".new")
    try:
        with temporary.open("wb") as stream:
            stream.write(data)
            sync_file(stream)
        temporary.replace(path)
    except OSError:
        # On a full disk, an incomplete copy would keep room that is needed.
        with suppress(OSError):
            temporary.unlink(missing_ok=True)
        raise
    sync_folder(path.parent)
