"""Provide registries of interchangeable functions, filled by decorators."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

K = TypeVar("K")
V = TypeVar("V")


class DuplicateEntry(Exception):
    """Report a key that is registered a second time."""


class UnknownEntry(Exception):
    """Report the lookup of a key that is not registered."""


class Registry(Generic[K, V]):
    """Map keys to registered entries; ``title`` names the registry in errors."""

    def __init__(self, title: str) -> None:
        self.title = title
        self._entries: dict[K, V] = {}

    def register(self, key: K) -> Callable[[V], V]:
        """Return a decorator that registers its entry under a key.

        Registering a key twice raises DuplicateEntry.
        """

        def add(entry: V) -> V:
            if key in self._entries:
                raise DuplicateEntry(f"{self.title}: {key}")
            self._entries[key] = entry
            return entry

        return add

    def get(self, key: K) -> V:
        """Return the entry under a key, or raise UnknownEntry."""
        try:
            return self._entries[key]
        except KeyError:
            raise UnknownEntry(f"{self.title}: {key}") from None

    def __contains__(self, key: K) -> bool:
        return key in self._entries

    def __iter__(self) -> Iterator[K]:
        return iter(self._entries)
