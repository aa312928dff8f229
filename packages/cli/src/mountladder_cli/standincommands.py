# standincommands.py -- Commands that run stand-ins
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Commands that run stand-ins."""

from __future__ import annotations

import sys
from contextlib import ExitStack
from pathlib import Path

import click
from gevent.event import Event

from mountladder.clocks.systemclock import SystemClock
from mountladder.configuration.document import Document
from mountladder.errors import MountladderError
from mountladder_cli.configurationcommands import read_files
from mountladder_cli.session import EXIT_FAILED, flatten
from mountladder_standins.listening import listen
from mountladder_standins.platformapp import platform_app
from mountladder_standins.serverapp import server_app
from mountladder_standins.speeds import Speeds
from mountladder_standins.standinloader import StandinLoader
from mountladder_standins.standinplatform import StandinPlatform
from mountladder_standins.standinserver import StandinServer
from mountladder_standins.weightstore import WeightStore

OLD_ACCELERATOR_FACTOR = 3.0


@click.group("standin")
def standin() -> None:
    """Run stand-ins of the platform and of backend servers, to try the system locally."""


@standin.command("platform")
@click.option("--listen", "address", default="127.0.0.1:8000")
@click.option("--lag-ms", type=float, default=1_000.0, help="Delay of the instance list.")
def platform(address: str, lag_ms: float) -> None:
    """Run a stand-in of the table service, the object store and the instance list."""
    with ExitStack() as stack:
        bound_address = listen(platform_app(StandinPlatform(SystemClock(), lag_ms)), address, stack)
        click.echo(f"platform on http://{bound_address}")
        Event().wait()


@standin.command("servers")
@click.option("-f", "--file", "path", required=True, type=click.Path(path_type=Path))
def servers(path: Path) -> None:
    """Run a stand-in of each backend server of a configuration file, at its address."""
    try:
        documents = read_files((path,))
    except* MountladderError as group:
        for error in flatten(group):
            click.echo(f"error {error}", err=True)
        documents = []
    if not documents:
        sys.exit(EXIT_FAILED)
    weights = WeightStore(SystemClock())
    with ExitStack() as stack:
        for server in documents:
            if server.kind == "server":
                standin_server = StandinServer(server.name, SystemClock(), speeds_of(server))
                if server.serves == "engine" and server.models:
                    loaded = dict.fromkeys(server.models, "1")
                    standin_server.loader = StandinLoader(weights, loaded)
                app = server_app(standin_server)
                click.echo(f"{server.name} on {listen(app, server.address, stack)}")
        Event().wait()


def speeds_of(server: Document) -> Speeds:
    """Return the speeds of a server's stand-in, by the server's accelerator."""
    factor = OLD_ACCELERATOR_FACTOR if server.accelerator == "old" else 1.0
    return Speeds(factor=factor, slots=server.slots)


COMMANDS = (standin,)
