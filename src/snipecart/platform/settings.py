"""Translate the platform's settings file into control and gateway settings."""

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
from .values import parse_duration_ms

HTTP_PORT_OFFSET = 1
"""Offset from the first internal port to the HTTP port of a control process."""

METRICS_PORT_OFFSET = 2
"""Offset from the first internal port to the port of the metrics page."""

BODY_MEMORY_FRACTION = 0.25
"""Fraction of a VM's memory for the bodies of requests in progress.

The answers to them have as much, of which one answer may use half.
"""

MAX_LINGER_SECONDS = 3.0
"""Longest time for which a stopping gateway takes new requests.

Clients may repeat a rejected request elsewhere, while one that is taken later may still
run when the process has to end.
"""

KEY_LEASE_FRACTION = 0.9
"""Fraction of the time within which a revoked key must be refused everywhere.

The rest allows for clocks that run at slightly different speeds.
"""

DEFAULT_REVOKE_MS = 5000
"""Time within which a revoked key must be refused, where ``bounds`` states none."""

DEFAULT_QUOTA_WINDOW_MS = 5000
"""Window in which requests of organisations count, where ``bounds`` states none."""

DEFAULT_MEMORY_MB = 256.0
"""Memory of a VM whose settings state none."""


@dataclass(frozen=True)
class Address:
    """Represent an address to listen on."""

    host: str
    port: int


@dataclass(frozen=True)
class PlatformSettings:
    """Provide typed access to the fields of the settings file."""

    fields: dict[str, Any]

    def address(self, name: str) -> Address:
        """Return a listening address by its name in the settings file."""
        host, _, port = self.fields["listen_addrs"][name].rpartition(":")
        return Address(host, int(port))

    @property
    def host(self) -> str:
        """Return the address of this VM."""
        return self.fields["ip"]

    @property
    def regions(self) -> dict[ZoneName, RegionName]:
        """Return the region of each availability zone."""
        return dict(self.fields["zones"])

    @property
    def internal_port(self) -> int:
        """Return the first port for traffic between snipecart's processes."""
        return self.fields["internal_port_range"][0]

    @property
    def metrics_address(self) -> Address:
        """Return the address of the metrics page."""
        return Address(self.host, self.internal_port + METRICS_PORT_OFFSET)

    @property
    def memory_mb(self) -> float:
        """Return the memory that a process may use on this VM, in megabytes."""
        return self.fields.get("limits", {}).get("memory_mb") or DEFAULT_MEMORY_MB

    def bound_ms(self, name: str, default: int) -> int:
        """Return an entry of ``bounds`` that is a duration, in milliseconds."""
        value = self._bounds().get(name)
        return parse_duration_ms(value) if value is not None else default

    def bound(self, name: str, default: float) -> float:
        """Return an entry of ``bounds`` that is a number."""
        return float(self._bounds().get(name, default))

    def bound_text(self, name: str, default: str) -> str:
        """Return an entry of ``bounds`` as text."""
        return self._bounds().get(name, default)

    def flag(self, name: str) -> bool:
        """Return an entry of ``bounds`` that is a boolean; False if there is none."""
        return self._bounds().get(name, "false") == "true"

    def _bounds(self) -> dict[str, str]:
        pairs = (item.partition("=") for item in self.fields.get("bounds", ()))
        return {name: value for name, _, value in pairs}

    def control_peers(self) -> tuple[ControlPeer, ...]:
        """Return the control processes in ``seed_nodes``."""
        hosts = [seed.rpartition(":")[0] for seed in self.fields["seed_nodes"]]
        return tuple(
            ControlPeer(
                vm=VmName(host),
                host=host,
                port=self.internal_port,
                http_port=self.internal_port + HTTP_PORT_OFFSET,
            )
            for host in hosts
        )


def read_settings_file() -> bytes:
    """Return the content of the settings file; empty if it can't be read."""
    try:
        return Path(os.environ.get(SETTINGS_VARIABLE, "")).read_bytes()
    except OSError:
        return b""


def load_platform_settings() -> Result[PlatformSettings, SettingsInvalid]:
    """Return the settings from the file that SNIPECART_NODE_FILE names."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        return Ok(PlatformSettings(tomllib.loads(path.read_text())))
    except (OSError, ValueError) as exc:
        return Error(SettingsInvalid(str(path), (Fault("$", "unreadable", str(exc)),)))


def control_settings(platform: PlatformSettings) -> Result[ControlSettings, Any]:
    """Return the settings of a control process."""
    return _validate(
        lambda: ControlSettings(
            vm=VmName(platform.host),
            host=platform.host,
            peer_port=platform.internal_port,
            http_port=platform.internal_port + HTTP_PORT_OFFSET,
            data=Path(platform.fields["data_dir"]),
            peers=platform.control_peers(),
            region=platform.fields.get("region", ""),
            open_to_vms=True,
            quota=_quota_settings(platform),
            placement=platform.bound_text("placement", "auto"),
            founding=platform.fields["bootstrap"],
            report_every_s=parse_duration_ms(platform.fields["heartbeat_interval"])
            / 1000,
            log_level="INFO",
        )
    )


def gateway_settings(platform: PlatformSettings) -> Result[GatewaySettings, Any]:
    """Return the settings of a gateway."""
    grace = platform.bound_ms("grace", 6000) / 1000
    return _validate(
        lambda: GatewaySettings(
            vm=VmName(platform.host),
            host=platform.host,
            region=platform.fields["region"],
            zone=platform.fields["zone"],
            regions=tuple(sorted(set(platform.regions.values()))),
            port=platform.address("front").port,
            ready_port=platform.address("readiness").port,
            control=platform.control_peers(),
            retries={
                "ratio": platform.bound("retry_budget_ratio", 0.2),
                "window_s": platform.bound_ms("budget_window", 10_000) / 1000,
                "slack": platform.bound("budget_slack", 10.0),
            },
            body_memory_mb=platform.memory_mb * BODY_MEMORY_FRACTION,
            answer_memory_mb=platform.memory_mb * BODY_MEMORY_FRACTION,
            max_answer_mb=platform.memory_mb * BODY_MEMORY_FRACTION / 2,
            key_lease_s=_key_lease_s(platform),
            link_mbps=platform.fields.get("limits", {}).get("link_mbps", 0.0),
            linger_s=min(MAX_LINGER_SECONDS, grace / 2),
            stop_s=grace * 0.87,
        )
    )


def _key_lease_s(platform: PlatformSettings) -> float:
    """Return how long a table proved current may admit API keys; 0 for no limit."""
    if not platform.flag("strict_revoke"):
        return 0.0
    return KEY_LEASE_FRACTION * platform.bound_ms("revoke", DEFAULT_REVOKE_MS) / 1000


def _quota_settings(platform: PlatformSettings) -> dict[str, float]:
    return {
        "window_s": platform.bound_ms("quota_window", DEFAULT_QUOTA_WINDOW_MS) / 1000,
        "overage": platform.bound("quota_overage", 0.0),
        "slack": platform.bound("quota_slack", 0.0),
    }


def _validate(make: Any) -> Result[Any, SettingsInvalid]:
    try:
        return Ok(make())
    except ValidationError as exc:
        return Error(SettingsInvalid("platform settings", list_faults(exc)))
    except (KeyError, TypeError, ValueMalformed) as exc:
        fault = Fault("$", "malformed", repr(exc))
        return Error(SettingsInvalid("platform settings", (fault,)))
