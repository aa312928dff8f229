# sourcefollower.py -- Following a table of the store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Following a table of the store."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.errors import HistoryLostError, StoreUnavailableError
from mountladder.forwarding.source import Source
from mountladder.forwarding.sourcepage import SourcePage
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics

# How long one call waits for a change. Calls are priced, and peers tell of what a feed that fell
# silent does not bring; the store keeps 20 s of history (the users' sheet), which a call must not
# outlast by much.
WAIT_MS = 15_000.0
FIRST_PAUSE_MS = 100.0
LONGEST_PAUSE_MS = 800.0


class SourceFollower:
    """Keeps what an instance knows of one table up to date, for as long as the store answers.

    Args:
        name: The table's name, for the log.
        source: The table.
        clock: The clock.
        metrics: Where failed calls are counted.
        take: Called with each page and whether it holds the whole table.
        wait_ms: How long one call waits for a change.

    Attributes:
        version: The version up to which changes were taken in, or None before the first reading.
        connected: Whether the last call was answered.
        on_regained: Called when the store answers again.
    """

    def __init__(
        self,
        name: str,
        source: Source,
        clock: Clock,
        metrics: Metrics,
        take: Callable[[SourcePage, bool], None],
        wait_ms: float = WAIT_MS,
    ) -> None:
        self.name = name
        self.source = source
        self.clock = clock
        self.metrics = metrics
        self.take = take
        self.wait_ms = wait_ms
        self.version: int | None = None
        self.connected = False
        self.lost_at: float | None = None
        self.pause_ms = FIRST_PAUSE_MS
        self.on_regained: Callable[[], None] = lambda: None

    def run(self) -> None:
        """Follow the table for ever."""
        while True:
            self.step()

    def step(self) -> None:
        """Make one call and take in what it brings."""
        try:
            whole = self.version is None
            page = self.source.read() if whole else self.source.changes(self.version, self.wait_ms)
        except HistoryLostError as error:
            log_message("history-lost", table=self.name, after=self.version, reason=error.detail)
            self.version = None
            return
        except StoreUnavailableError as error:
            self.lost(error)
            return
        self.regained()
        self.version = page.version if whole else max(self.version, page.version)
        self.take(page, whole)

    def lost(self, error: StoreUnavailableError) -> None:
        """Record a call without an answer, and pause before the next one."""
        self.metrics.count(Metric.STORE_ERRORS, error.code.name.lower())
        if self.connected or self.lost_at is None:
            self.lost_at = self.clock.now()
            log_message("store-lost", table=self.name, version=self.version, reason=error.detail)
        self.connected = False
        self.clock.sleep(self.pause_ms)
        self.pause_ms = min(LONGEST_PAUSE_MS, 2 * self.pause_ms)

    def regained(self) -> None:
        """Record a call that was answered."""
        self.pause_ms = FIRST_PAUSE_MS
        if self.connected:
            return
        self.connected = True
        if self.lost_at is not None:
            away_ms = round(self.clock.now() - self.lost_at)
            log_message("store-regained", table=self.name, version=self.version, away_ms=away_ms)
            self.on_regained()
