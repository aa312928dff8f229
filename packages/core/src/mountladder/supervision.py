# supervision.py -- Tasks that are started again when they fail
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Tasks that are started again when they fail."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message, write_traceback

from mountladder.clocks.clock import Clock

RESTART_MS = 1_000.0


def keep_running(loop: Callable[[], None], clock: Clock) -> None:
    """Run a loop for ever; start it again a little after a fault, which is logged.

    Args:
        loop: What runs; it is not expected to return.
        clock: The clock.
    """
    while True:
        try:
            loop()
        except Exception:  # one faulty task must not end the instance
            write_traceback()
        log_message("task-restarted", task=loop.__qualname__, pause_ms=RESTART_MS)
        clock.sleep(RESTART_MS)
