"""Run snipecart-control with its HTTP pages."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from ..program.listener import HttpListener
from ..program.web import serving_pages
from .factory import control_tasks
from .pages import ControlPages

if TYPE_CHECKING:
    from collections.abc import Iterator

    from expression import Result

    from ..core.failures import Failure
    from ..program.settings import ControlSettings
    from .factory import ControlTasks

HTTP_THREADS = 8


@contextmanager
def control_program(cfg: ControlSettings) -> Iterator[Result[ControlTasks, Failure]]:
    """Run a control process and its HTTP pages until the block ends."""
    http_addresses = {peer.vm: f"{peer.host}:{peer.http_port}" for peer in cfg.peers}
    with control_tasks(cfg) as tasks:
        if tasks.is_error():
            yield tasks
            return
        pages = ControlPages(tasks.ok.node, http_addresses)
        with serving_pages(
            [HttpListener(cfg.host, cfg.http_port, HTTP_THREADS)], {}, pages
        ):
            yield tasks
