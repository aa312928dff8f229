# reachcheck.py -- What an instance knows of a server to which it could open no connection
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What an instance knows of a server to which it could open no connection."""

from __future__ import annotations

from mountladder.routing.serverstate import ServerState


class ReachCheck:
    """What an instance knows of a server to which it could open no connection.

    Args:
        state: The server.
        service: Its service.
        failed_at: When a connection failed first, in the clock's milliseconds.

    Attributes:
        due_at: When it is checked next, or later.
        interval_ms: The time until then from the check before.
        checks: How often it was checked.
        running: Whether a check is in progress.
        reached: Whether the last check reached it.
        failed_elsewhere: Whether only another instance has found that it cannot be reached.
    """

    def __init__(self, state: ServerState, service: str, failed_at: float) -> None:
        self.state = state
        self.service = service
        self.failed_at = failed_at
        self.due_at = failed_at
        self.interval_ms = 0.0
        self.checks = 0
        self.running = False
        self.reached = False
        self.failed_elsewhere = False
