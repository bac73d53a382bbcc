"""Define the model of the configuration that operators submit."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

from ..core.ids import KindName
from ..core.ids import RegionName
from ..core.ids import ServiceName
from ..core.ids import ZoneName
from ..core.states import CutOffPolicy
from ..core.states import Rank

NAME_PATTERN = r"^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$"

MAX_DEADLINE_MS = 600_000
"""Longest time that a kind of call may take."""

Name = Annotated[str, Field(pattern=NAME_PATTERN)]


class Part(BaseModel):
    """Reject unknown fields and implicit conversions; base of all models."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class Region(Part):
    """Represent a region and its availability zones."""

    name: Annotated[RegionName, Field(pattern=NAME_PATTERN)]
    zones: Annotated[tuple[ZoneName, ...], Field(min_length=1, strict=False)]


class Place(Part):
    """Represent the backend servers of a service in an availability zone."""

    zone: ZoneName
    endpoints: Annotated[int, Field(ge=1, le=10_000)]
    slots: Annotated[int, Field(ge=1, le=10_000)]
    """Maximum number of calls that one backend server runs at a time."""


class Kind(Part):
    """Represent a kind of call to a service, with its rank, deadline and limits."""

    name: Annotated[KindName, Field(pattern=NAME_PATTERN)]
    rank: Annotated[Rank, Field(strict=False)]
    idempotent: bool
    deadline_ms: Annotated[int, Field(ge=1, le=MAX_DEADLINE_MS)]
    floor: Annotated[float, Field(ge=0.0, le=1.0, strict=False)] = 0.05
    """Fraction of the service's slots that is reserved for this kind under any load."""
    kb_per_call: Annotated[int, Field(ge=1, le=1024)] = 4
    """Maximum kilobytes that a call and its answer transfer over a link."""
    when_cut_off: Annotated[CutOffPolicy, Field(strict=False)] = CutOffPolicy.REFUSE


class Service(Part):
    """Represent a service, where it runs and which services it depends on."""

    name: Annotated[ServiceName, Field(pattern=NAME_PATTERN)]
    places: Annotated[tuple[Place, ...], Field(min_length=1, strict=False)]
    depends_on: Annotated[tuple[ServiceName, ...], Field(strict=False)] = ()
    kinds: Annotated[tuple[Kind, ...], Field(min_length=1, strict=False)]


class Link(Part):
    """Limit the traffic that may be shifted from one region to another."""

    source: RegionName
    target: RegionName
    mbit_per_s: Annotated[int, Field(ge=0, le=1_000_000)]


class Text(Part):
    """Represent a configuration, with all regions, services and links."""

    regions: Annotated[tuple[Region, ...], Field(min_length=1, strict=False)]
    services: Annotated[tuple[Service, ...], Field(min_length=1, strict=False)]
    links: Annotated[tuple[Link, ...], Field(strict=False)] = ()

    def find_region(self, zone: ZoneName) -> RegionName | None:
        """Return the region of an availability zone, or None if it is unknown."""
        for region in self.regions:
            if zone in region.zones:
                return region.name
        return None
