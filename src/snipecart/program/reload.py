"""Reload settings while a program runs, and tell what has changed."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from ..core.events import SETTING_CHANGED
from ..core.events import SETTINGS_REFUSED
from ..core.events import emit
from .settings import describe_faults

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from ..core.failures import SettingsInvalid
    from .settings import Section


class SettingsReloader:
    """Hold the settings in force, and replace them by those in the changed file.

    ``apply`` passes settings that may change to the tasks; ``live`` names them. Others
    take effect with the next start.
    """

    def __init__(
        self,
        read_file: Callable[[], bytes],
        load: Callable[[], Result[Section, SettingsInvalid]],
        apply: Callable[[Any], Any],
        live: frozenset[str],
        current: Section,
    ) -> None:
        self._read_file, self._load = read_file, load
        self._apply, self._live = apply, live
        self._current = current
        self._content = read_file()

    def has_changed(self) -> bool:
        """Return whether the file has other content than when it was last loaded."""
        return self._read_file() != self._content

    def reload(self) -> bool:
        """Apply the file's settings; keep those in force if it is malformed.

        Return whether they were applied.
        """
        self._content = self._read_file()
        loaded = self._load()
        if loaded.is_error():
            emit(SETTINGS_REFUSED, faults=describe_faults(loaded.error))
            return False
        before, self._current = self._current, loaded.ok
        for name in type(before).model_fields:
            old, new = getattr(before, name), getattr(loaded.ok, name)
            if old != new:
                emit(
                    SETTING_CHANGED,
                    setting=name,
                    old=str(old),
                    new=str(new),
                    in_force=name in self._live,
                )
        self._apply(loaded.ok)
        return True
