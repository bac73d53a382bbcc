"""Translate the platform's settings file into the product's settings."""

from __future__ import annotations

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
from pydantic import ValidationError

from ..core.failures import Fault
from ..core.failures import SettingsInvalid
from ..core.ids import RegionName
from ..core.ids import VmName
from ..core.ids import ZoneName
from ..program.settings import ControlPeer
from ..program.settings import ControlSettings
from ..program.settings import GatewaySettings
from ..text.parse import list_faults
from .names import SETTINGS_VARIABLE
from .values import ValueMalformed
from .values import read_ms

HTTP_OWN = 1
"""Offset into the internal ports of a control process's own pages."""

METRICS = 2
"""Offset into the internal ports of the metrics page."""


@dataclass(frozen=True)
class Address:
    """Hold a listening address."""

    host: str
    port: int


@dataclass(frozen=True)
class PlatformSettings:
    """Hold what the settings file says, decoded."""

    fields: dict[str, Any]

    def address(self, name: str) -> Address:
        """Return one of the addresses to listen at."""
        host, _, port = self.fields["listen_addrs"][name].rpartition(":")
        return Address(host, int(port))

    @property
    def host(self) -> str:
        """Return the machine's own address."""
        return self.fields["ip"]

    @property
    def regions(self) -> dict[ZoneName, RegionName]:
        """Return the region of each zone."""
        return dict(self.fields["zones"])

    @property
    def inner_port(self) -> int:
        """Return the first port for traffic between own processes."""
        return self.fields["internal_port_range"][0]

    @property
    def metrics(self) -> Address:
        """Return where to serve metrics."""
        return Address(self.host, self.inner_port + METRICS)

    def bound_ms(self, name: str, default: int) -> int:
        """Return a bound that is a span of time."""
        said = self._bounds().get(name)
        return read_ms(said) if said is not None else default

    def bound(self, name: str, default: float) -> float:
        """Return a bound that is a number."""
        return float(self._bounds().get(name, default))

    def _bounds(self) -> dict[str, str]:
        pairs = (item.partition("=") for item in self.fields.get("bounds", ()))
        return {name: value for name, _, value in pairs}

    def control_peers(self) -> tuple[ControlPeer, ...]:
        """Return the control processes that the file names, by their addresses."""
        hosts = [seed.rpartition(":")[0] for seed in self.fields["seed_nodes"]]
        return tuple(
            ControlPeer(
                vm=VmName(host),
                host=host,
                port=self.inner_port,
                http_port=self.inner_port + HTTP_OWN,
            )
            for host in hosts
        )


def load_platform_settings() -> Result[PlatformSettings, SettingsInvalid]:
    """Return the settings in the file that the environment names."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        return Ok(PlatformSettings(tomllib.loads(path.read_text())))
    except (OSError, ValueError) as exc:
        return Error(SettingsInvalid(str(path), (Fault("$", "unreadable", str(exc)),)))


def control_settings(given: PlatformSettings) -> Result[ControlSettings, Any]:
    """Return the settings of a control process."""
    return _checked(
        lambda: ControlSettings(
            vm=VmName(given.host),
            host=given.host,
            peer_port=given.inner_port,
            http_port=given.inner_port + HTTP_OWN,
            data=Path(given.fields["data_dir"]),
            peers=given.control_peers(),
            open_to_vms=True,
            founding=given.fields["bootstrap"],
            report_every_s=read_ms(given.fields["heartbeat_interval"]) / 1000,
            log_level="INFO",
        )
    )


def gateway_settings(given: PlatformSettings) -> Result[GatewaySettings, Any]:
    """Return the settings of a gateway."""
    grace = given.bound_ms("grace", 6000) / 1000
    return _checked(
        lambda: GatewaySettings(
            vm=VmName(given.host),
            host=given.host,
            region=given.fields["region"],
            zone=given.fields["zone"],
            regions=tuple(sorted(set(given.regions.values()))),
            port=given.address("front").port,
            ready_port=given.address("readiness").port,
            control=given.control_peers(),
            retries={
                "ratio": given.bound("retry_budget_ratio", 0.2),
                "window_s": given.bound_ms("budget_window", 10_000) / 1000,
                "slack": given.bound("budget_slack", 10.0),
            },
            link_mbps=given.fields.get("limits", {}).get("link_mbps", 0.0),
            linger_s=grace / 2,
            stop_s=grace * 0.87,
        )
    )


def _checked(make: Any) -> Result[Any, SettingsInvalid]:
    try:
        return Ok(make())
    except ValidationError as exc:
        return Error(SettingsInvalid("platform settings", list_faults(exc)))
    except (KeyError, TypeError, ValueMalformed) as exc:
        fault = Fault("$", "malformed", repr(exc))
        return Error(SettingsInvalid("platform settings", (fault,)))
