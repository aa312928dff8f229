# standalone.py -- Runs an instance with mountladder's own interface
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Runs an instance with mountladder's own interface."""

from __future__ import annotations

import signal
import sys
from contextlib import ExitStack
from pathlib import Path

import click
import gevent
from eliot import log_message, to_file
from gevent.event import Event

from mountladder.clocks.systemclock import SystemClock
from mountladder.configuration.settings import Settings
from mountladder.errors import MountladderError
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.metrics.metrics import Metrics
from mountladder.metrics.statsdmetrics import StatsdMetrics
from mountladder_entry.httpbackend import HttpBackend
from mountladder_entry.httpengines import HttpEngines
from mountladder_entry.node import Node
from mountladder_entry.platform import http_platform

EXIT_SETTINGS = 2
EXIT_ABORTED = 3


def run(path: Path, check: bool) -> int:
    """Run an instance, or only check its settings; return the exit status."""
    settings = load(path)
    if settings is None:
        return EXIT_SETTINGS
    if check:
        click.echo("the settings are valid")
        return 0
    to_file(sys.stderr)
    with ExitStack() as stack:
        return EXIT_ABORTED if serve(settings, stack) else 0


def load(path: Path) -> Settings | None:
    """Return the settings in a file, or None after printing every fault."""
    try:
        return Settings.load(path)
    except* MountladderError as group:
        for error in group.exceptions:
            click.echo(str(error), err=True)
    return None


def serve(settings: Settings, stack: ExitStack) -> int:
    """Run until a signal to stop; return the number of requests that were aborted."""
    clock = SystemClock()
    backend = HttpBackend(clock)
    stack.callback(backend.close)
    platform = http_platform(settings.platform, clock, stack)
    engines = HttpEngines(clock)
    stack.callback(engines.close)
    metrics = make_metrics(settings, stack)
    node = Node(settings, clock, platform, backend, metrics, engines=engines)
    stop_requested = Event()
    gevent.signal_handler(signal.SIGTERM, handle_signal, stop_requested, node)
    gevent.signal_handler(signal.SIGINT, handle_signal, stop_requested, node)
    node.start()
    stop_requested.wait()
    return node.stop()


def handle_signal(stop_requested: Event, node: Node) -> None:
    """Shut down gracefully at the first signal and exit at the second."""
    if stop_requested.is_set():
        running = [name for name, number in node.admission.running.items() if number]
        log_message("stopped-at-once", aborted=node.admission.total, teams=running)
        sys.exit(EXIT_ABORTED)
    stop_requested.set()


def make_metrics(settings: Settings, stack: ExitStack) -> Metrics:
    """Return the receiver of metrics by the settings: StatsD, or memory."""
    if not settings.statsd:
        return MemoryMetrics()
    host, _, port = settings.statsd.rpartition(":")
    metrics = StatsdMetrics(host.strip("[]"), int(port))
    stack.callback(metrics.close)
    return metrics
