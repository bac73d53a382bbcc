"""Write what a script has seen to the record of its case."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """Append lines with the time since the start, and show them."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._stream = path.open("w")

    def __call__(self, text: str) -> None:
        """Write one line, and show it."""
        print(self.note(text), flush=True)

    def note(self, text: str) -> str:
        """Write one line, and return it."""
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        self._stream.write(line + "\n")
        self._stream.flush()
        return line
