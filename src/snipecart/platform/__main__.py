"""Run the entry and control programs with the platform's settings file."""

from __future__ import annotations

import sys
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import Any

import click

from ..program.http import make_wsgi_server
from ..program.http import running_server
from ..program.inspect import make_inspection_app
from ..program.listener import HttpListener
from ..program.reload import SettingsReloader
from ..program.run import EXIT_FAILED
from ..program.run import EXIT_INVALID_SETTINGS
from ..program.run import LogFormat
from ..program.run import run_until_stopped
from ..program.settings import describe_faults
from . import names
from .settings import control_settings
from .settings import gateway_settings
from .settings import load_platform_settings
from .settings import read_settings_file

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from ..gateway.factory import GatewayTasks
    from ..program.inspect import Page
    from ..program.settings import ControlSettings
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
    platform = load_platform_settings()
    settings = platform.bind(translate)
    if settings.is_error():
        click.echo(f"settings refused: {describe_faults(settings.error)}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    return platform.ok, settings.ok


def _run(name: str, body: Callable[[], Any]) -> int:
    return run_until_stopped(name, LOG_LEVEL, body, LogFormat.JSON)


@main.command()
def entry() -> None:
    """Route requests until SIGTERM, then drain."""
    platform, cfg = _settings_or_exit(gateway_settings)
    sys.exit(_run("entry", lambda: _entry(platform, cfg)))


def _make_reloader(
    translate: Callable[[PlatformSettings], Any],
    cfg: Any,
    live: frozenset[str],
    apply: Callable[[Any], Any],
) -> SettingsReloader:
    return SettingsReloader(
        read_settings_file,
        lambda: load_platform_settings().bind(translate),
        apply,
        live,
        cfg,
    )


@contextmanager
def _entry(platform: PlatformSettings, cfg: Any) -> Iterator[SettingsReloader]:
    from ..gateway.factory import LIVE_GATEWAY_SETTINGS
    from ..gateway.factory import accepting_requests
    from ..gateway.factory import gateway_tasks
    from ..gateway.pages import gateway_pages

    with (
        gateway_tasks(cfg, names.HEADERS) as tasks,
        _serving(platform, "readiness", READY_THREADS, _make_readiness_app(tasks)),
        _inspection(platform, gateway_pages(tasks)),
        accepting_requests(cfg, names.HEADERS, tasks),
    ):
        yield _make_reloader(
            gateway_settings, cfg, LIVE_GATEWAY_SETTINGS, tasks.apply_settings
        )


def _make_readiness_app(tasks: GatewayTasks) -> Any:
    def answer(environ: dict[str, Any], start_response: Any) -> list[bytes]:
        is_readiness_path = environ.get("PATH_INFO") == names.READY
        status = "404 Not Found"
        if is_readiness_path:
            status = "200 OK" if tasks.sync.ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return []

    return answer


@main.command()
def control() -> None:
    """Replicate the log and answer gateway lookups until SIGTERM."""
    platform, cfg = _settings_or_exit(control_settings)
    sys.exit(_run("control", lambda: _control(platform, cfg)))


@contextmanager
def _control(platform: PlatformSettings, cfg: Any) -> Iterator[SettingsReloader]:
    from ..control.disk.store import bootstrap_log_if_blank
    from ..control.factory import LIVE_CONTROL_SETTINGS
    from ..control.factory import control_tasks
    from ..control.factory import initial_voters
    from ..control.inspect import control_pages
    from . import calls

    if cfg.founding and cfg.vm in {peer.vm for peer in cfg.peers}:
        bootstrap_log_if_blank(cfg.data, cfg.vm, initial_voters(cfg))
    with control_tasks(cfg) as tasks:
        if tasks.is_error():
            click.echo(f"log refused: {tasks.error.detail}", err=True)
            sys.exit(EXIT_FAILED)
        app = calls.ControlCalls(platform, tasks.ok)
        with (
            _serving(platform, "control", CONTROL_THREADS, app, calls.MAX_BODY_BYTES),
            _serving(platform, "directory", LOOKUP_THREADS, app),
            _inspection(platform, control_pages(tasks.ok)),
        ):

            def apply(settings: ControlSettings) -> None:
                tasks.ok.update_seeds(settings)
                app.reload_settings()

            yield _make_reloader(control_settings, cfg, LIVE_CONTROL_SETTINGS, apply)


@contextmanager
def _serving(
    platform: PlatformSettings,
    name: str,
    threads: int,
    app: Any,
    max_body_bytes: int = 0,
) -> Iterator[None]:
    address = platform.address(name)
    listener = HttpListener(
        address.host, address.port, threads, max_body_bytes, names.SMALL_BODY_PREFIXES
    )
    with running_server(make_wsgi_server(listener, app)):
        yield


@contextmanager
def _inspection(platform: PlatformSettings, pages: dict[str, Page]) -> Iterator[None]:
    address = platform.metrics_address
    listener = HttpListener(address.host, address.port, METRICS_THREADS)
    with running_server(make_wsgi_server(listener, make_inspection_app(pages))):
        yield


if __name__ == "__main__":
    main()
