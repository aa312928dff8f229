# supervision.py -- Restarts background tasks that fail
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Restarts background tasks that fail."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message, write_traceback

from mountladder.clocks.clock import Clock
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics

# The pause before a restart.
RESTART_MS = 1_000.0


def keep_running(loop: Callable[[], None], clock: Clock, metrics: Metrics) -> None:
    """Run a loop and restart it after a pause whenever it raises or returns; does not return.

    Exceptions are logged.

    Args:
        loop: The loop, which is not expected to return.
        clock: The clock.
        metrics: Counts the restarts.
    """
    while True:
        try:
            loop()
        except Exception:  # a failing task must not stop the instance
            write_traceback()
        metrics.count(Metric.TASK_RESTARTS)
        log_message("task-restarted", task=loop.__qualname__, pause_ms=RESTART_MS)
        clock.sleep(RESTART_MS)
