"""Run a case in a temporary folder, and end all that it has started."""

from __future__ import annotations

import os
import shutil
import tempfile
import traceback
from pathlib import Path
from typing import TYPE_CHECKING

from .platform import Platform
from .record import Record

if TYPE_CHECKING:
    from collections.abc import Callable

COULD_NOT_RUN = 2


def run_case(
    folder: Path,
    net: str,
    entries: int,
    run: Callable[[Platform, Record, bool], int],
) -> int:
    """Return 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE") != "0"
    data = Path(tempfile.mkdtemp(prefix="review-"))
    platform = Platform(data, net, controls=3, entries=entries)
    try:
        return run(platform, record, trouble)
    except Exception:
        record(f"the case could not run: {traceback.format_exc()}")
        return COULD_NOT_RUN
    finally:
        platform.end()
        shutil.rmtree(data, ignore_errors=True)
