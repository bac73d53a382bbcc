"""Compare two configurations."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .model import Text


class ChangeKind(StrEnum):
    """List how a value may differ between two configurations."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True)
class Change:
    """Describe one change between two configurations: its path, old and new value."""

    path: str
    kind: ChangeKind
    before: Any
    after: Any


def diff_texts(before: Text | None, after: Text) -> list[Change]:
    """Return the changes from one configuration to the next, or from none."""
    old = before.model_dump(mode="json") if before else {}
    return list(_compare("$", old, after.model_dump(mode="json")))


def _compare(path: str, old: Any, new: Any) -> Iterator[Change]:
    if isinstance(old, dict) and isinstance(new, dict):
        yield from _compare_dicts(path, old, new)
    elif _is_keyed(old) and _is_keyed(new):
        yield from _compare_dicts(path, _index_by_key(old), _index_by_key(new))
    elif old != new:
        yield Change(path, ChangeKind.CHANGED, old, new)


def _compare_dicts(path: str, old: dict[str, Any], new: dict[str, Any]) -> Iterator:
    for name in sorted(old.keys() | new.keys()):
        segment = name if name.startswith("[") else f".{name}"
        if name not in old:
            yield Change(path + segment, ChangeKind.ADDED, None, new[name])
        elif name not in new:
            yield Change(path + segment, ChangeKind.REMOVED, old[name], None)
        else:
            yield from _compare(path + segment, old[name], new[name])


def _is_keyed(value: Any) -> bool:
    return isinstance(value, list) and all(isinstance(item, dict) for item in value)


def _index_by_key(items: list[dict[str, Any]]) -> dict[str, Any]:
    return {f"[{_format_key(item)}]": item for item in items}


def _format_key(item: dict[str, Any]) -> str:
    if "name" in item:
        return f"name={item['name']}"
    if "zone" in item:
        return f"zone={item['zone']}"
    return f"{item.get('source')}>{item.get('target')}"
