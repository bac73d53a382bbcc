"""Run the product's programs on the platform."""

from __future__ import annotations

import sys
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import click

from ..core.events import SETTINGS_REFUSED
from ..core.events import emit
from ..program.http import make_wsgi_server
from ..program.http import running_server
from ..program.inspect import make_inspection
from ..program.listener import HttpListener
from ..program.run import EXIT_FAILED
from ..program.run import EXIT_SETTINGS
from ..program.run import LogFormat
from ..program.run import run_until_stopped
from ..program.settings import describe
from . import names
from .settings import control_settings
from .settings import gateway_settings
from .settings import load_platform_settings

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from ..gateway.factory import GatewayTasks
    from ..program.inspect import Page
    from .settings import PlatformSettings

CONTROL_THREADS = 16

LOOKUP_THREADS = 6

READY_THREADS = 2

METRICS_THREADS = 1

LOG_LEVEL = "INFO"


@click.group()
def main() -> None:
    """Run snipecart on the platform."""


def _settings_or_exit(translate: Callable[[PlatformSettings], Any]) -> Any:
    given = load_platform_settings()
    own = given.bind(translate)
    if own.is_error():
        click.echo(f"settings refused: {describe(own.error)}", err=True)
        sys.exit(EXIT_SETTINGS)
    return given.ok, own.ok


def _run(name: str, body: Callable[[], Any]) -> int:
    return run_until_stopped(name, LOG_LEVEL, body, LogFormat.JSON)


@main.command()
def entry() -> None:
    """Take routed requests until SIGTERM, then drain."""
    given, cfg = _settings_or_exit(gateway_settings)
    sys.exit(_run("entry", lambda: _entry(given, cfg)))


@dataclass(frozen=True)
class Reloading:
    """Read the settings file again and hand what may change to the tasks."""

    translate: Callable[[PlatformSettings], Any]
    hand_on: Callable[[Any], Any]

    def reload(self) -> None:
        """Take over newer settings; malformed ones change nothing."""
        own = load_platform_settings().bind(self.translate)
        if own.is_error():
            emit(SETTINGS_REFUSED, faults=describe(own.error))
            return
        self.hand_on(own.ok)


@contextmanager
def _entry(given: PlatformSettings, cfg: Any) -> Iterator[Reloading]:
    from ..gateway.factory import gateway_tasks
    from ..gateway.factory import taking_requests
    from ..gateway.pages import gateway_pages
    from ..gateway.sync import SetSeeds

    with (
        gateway_tasks(cfg, names.HEADERS) as tasks,
        _serving(given, "readiness", READY_THREADS, _ready_app(tasks)),
        _inspection(given, gateway_pages(tasks)),
        taking_requests(cfg, names.HEADERS, tasks),
    ):
        yield Reloading(
            gateway_settings, lambda own: tasks.sync.post(SetSeeds(own.control))
        )


def _ready_app(tasks: GatewayTasks) -> Any:
    def answer(environ: dict[str, Any], start_response: Any) -> list[bytes]:
        found = environ.get("PATH_INFO") == names.READY
        status = "404 Not Found"
        if found:
            status = "200 OK" if tasks.sync.ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return []

    return answer


@main.command()
def control() -> None:
    """Keep the log and answer look-ups until SIGTERM."""
    given, cfg = _settings_or_exit(control_settings)
    sys.exit(_run("control", lambda: _control(given, cfg)))


@contextmanager
def _control(given: PlatformSettings, cfg: Any) -> Iterator[Reloading]:
    from ..control.disk.store import bootstrap_log_if_blank
    from ..control.factory import control_tasks
    from ..control.factory import founders
    from ..control.inspect import control_pages
    from .calls import ControlCalls

    if cfg.founding and cfg.vm in {peer.vm for peer in cfg.peers}:
        bootstrap_log_if_blank(cfg.data, cfg.vm, founders(cfg))
    with control_tasks(cfg) as tasks:
        if tasks.is_error():
            click.echo(f"log refused: {tasks.error.detail}", err=True)
            sys.exit(EXIT_FAILED)
        app = ControlCalls(given, tasks.ok)
        with (
            _serving(given, "control", CONTROL_THREADS, app),
            _serving(given, "directory", LOOKUP_THREADS, app),
            _inspection(given, control_pages(tasks.ok)),
        ):
            yield Reloading(control_settings, tasks.ok.reseed)


@contextmanager
def _serving(
    given: PlatformSettings, name: str, threads: int, app: Any
) -> Iterator[None]:
    address = given.address(name)
    listener = HttpListener(address.host, address.port, threads)
    with running_server(make_wsgi_server(listener, app)):
        yield


@contextmanager
def _inspection(given: PlatformSettings, pages: dict[str, Page]) -> Iterator[None]:
    address = given.metrics
    listener = HttpListener(address.host, address.port, METRICS_THREADS)
    with running_server(make_wsgi_server(listener, make_inspection(pages))):
        yield


if __name__ == "__main__":
    main()
