"""Check a configuration for faults that its schema can't express."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

from ..core.failures import Fault
from ..core.registry import Registry
from .model import Text

Check = Callable[[Text], Iterator[Fault]]

CHECKS: Registry[str, Check] = Registry("configuration checks")
"""All checks by name; each yields the faults that it finds."""

MAX_FLOOR_SUM = 0.9
"""Maximum sum of the floors of a service's kinds, as a fraction of its slots."""


def _find_repeated(names: Iterable[str]) -> Iterator[tuple[int, str]]:
    counts: Counter[str] = Counter()
    for index, name in enumerate(names):
        counts[name] += 1
        if counts[name] > 1:
            yield index, name


@CHECKS.register("unique-names")
def check_unique_names(text: Text) -> Iterator[Fault]:
    """Find repeated names of regions, services, kinds and zones of a service."""
    for index, name in _find_repeated(region.name for region in text.regions):
        yield Fault(f"$.regions[{index}].name", "repeated_name", name)
    for index, name in _find_repeated(service.name for service in text.services):
        yield Fault(f"$.services[{index}].name", "repeated_name", name)
    for at, service in enumerate(text.services):
        for index, name in _find_repeated(kind.name for kind in service.kinds):
            path = f"$.services[{at}].kinds[{index}].name"
            yield Fault(path, "repeated_name", name)
        for index, name in _find_repeated(place.zone for place in service.places):
            path = f"$.services[{at}].places[{index}].zone"
            yield Fault(path, "repeated_name", name)


@CHECKS.register("unique-zones")
def check_unique_zones(text: Text) -> Iterator[Fault]:
    """Find availability zones that are listed more than once in the regions."""
    seen: set[str] = set()
    for at, region in enumerate(text.regions):
        for index, zone in enumerate(region.zones):
            if zone in seen:
                yield Fault(f"$.regions[{at}].zones[{index}]", "repeated_name", zone)
            seen.add(zone)


@CHECKS.register("known-zones")
def check_known_zones(text: Text) -> Iterator[Fault]:
    """Find services in availability zones that belong to no region."""
    for at, service in enumerate(text.services):
        for index, place in enumerate(service.places):
            if text.find_region(place.zone) is None:
                path = f"$.services[{at}].places[{index}].zone"
                yield Fault(path, "unknown_zone", place.zone)


@CHECKS.register("known-regions")
def check_known_regions(text: Text) -> Iterator[Fault]:
    """Find links with an unknown region, or from a region to itself."""
    names = {region.name for region in text.regions}
    for index, link in enumerate(text.links):
        for field, name in (("source", link.source), ("target", link.target)):
            if name not in names:
                yield Fault(f"$.links[{index}].{field}", "unknown_region", name)
        if link.source == link.target:
            yield Fault(f"$.links[{index}].target", "same_region", link.target)


@CHECKS.register("unique-links")
def check_unique_links(text: Text) -> Iterator[Fault]:
    """Find links that are listed more than once for the same pair of regions."""
    pairs = (f"{link.source} to {link.target}" for link in text.links)
    for index, pair in _find_repeated(pairs):
        yield Fault(f"$.links[{index}]", "repeated_link", pair)


@CHECKS.register("dependencies")
def check_dependencies(text: Text) -> Iterator[Fault]:
    """Find dependencies on unknown services, and cyclic dependencies."""
    dependencies = {service.name: set(service.depends_on) for service in text.services}
    for at, service in enumerate(text.services):
        for index, name in enumerate(service.depends_on):
            path = f"$.services[{at}].depends_on[{index}]"
            if name not in dependencies:
                yield Fault(path, "unknown_service", name)
            elif service.name in _find_reachable(dependencies, name):
                yield Fault(path, "dependency_cycle", name)


def _find_reachable(dependencies: dict[str, set[str]], start: str) -> set[str]:
    reached = {start}
    frontier = [start]
    while frontier:
        for name in dependencies.get(frontier.pop(), set()) - reached:
            reached.add(name)
            frontier.append(name)
    return reached


@CHECKS.register("floors")
def check_floors(text: Text) -> Iterator[Fault]:
    """Find services whose floors sum to more than MAX_FLOOR_SUM."""
    for at, service in enumerate(text.services):
        total = sum(kind.floor for kind in service.kinds)
        if total > MAX_FLOOR_SUM:
            path = f"$.services[{at}].kinds"
            reason = f"floors sum to {total:.2f}, more than {MAX_FLOOR_SUM}"
            yield Fault(path, "floors_too_high", reason)


@CHECKS.register("cut-off")
def check_cut_off(text: Text) -> Iterator[Fault]:
    """Find non-idempotent kinds that are to be served while cut off."""
    for at, service in enumerate(text.services):
        for index, kind in enumerate(service.kinds):
            if kind.when_cut_off == "serve" and not kind.idempotent:
                path = f"$.services[{at}].kinds[{index}].when_cut_off"
                yield Fault(
                    path,
                    "not_idempotent",
                    "only idempotent kinds may be served while cut off",
                )
