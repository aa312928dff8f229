# sourcefollower.py -- Following a table of the store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Following a table of the store."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.errors import HistoryLostError, StoreUnavailableError
from mountladder.forwarding.source import Source
from mountladder.forwarding.sourcepage import SourcePage
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.store.position import Position

# How long one call waits for a change where nothing else is said; in use the settings say it.
WAIT_MS = 500.0
# How much longer than that an answer may take. The store answers in some 4 ms, in 320 ms while it
# is slow (the users' sheets), never while it is cut off.
ANSWER_MS = 600.0
# How often an instance that leaves the store to another one looks whether it still does.
LOOK_MS = 50.0
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
        is_due: Tells whether this instance is to follow the table, once it has read it.
        idle_ms: Returns for how long that is surely not so.

    Attributes:
        position: Up to where changes were taken in, or None before the first reading.
        nudge: Set when it may have become due.
        connected: Whether the last call was answered.
        answered_at: When the store answered last.
        on_lost: Called when the store answers no more.
        on_regained: Called when it answers again.
    """

    def __init__(
        self,
        name: str,
        source: Source,
        clock: Clock,
        metrics: Metrics,
        take: Callable[[SourcePage, bool], None],
        wait_ms: float = WAIT_MS,
        is_due: Callable[[], bool] = lambda: True,
        idle_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.name = name
        self.source = source
        self.clock = clock
        self.metrics = metrics
        self.take = take
        self.wait_ms = wait_ms
        self.is_due = is_due
        self.idle_ms = idle_ms
        self.nudge = Event()
        self.position: Position | None = None
        self.connected = False
        self.answered_at = float("-inf")
        self.lost_at: float | None = None
        self.pause_ms = FIRST_PAUSE_MS
        self.on_lost: Callable[[], None] = lambda: None
        self.on_regained: Callable[[], None] = lambda: None

    def run(self) -> None:
        """Follow the table for ever, while that is this instance's to do."""
        while True:
            if self.position is None or self.is_due():
                self.step()
            else:
                self.clock.wait(self.nudge, max(LOOK_MS, self.idle_ms()))
                self.nudge.clear()

    @property
    def fed(self) -> bool:
        """Tell whether the store has answered within the time that a call takes at most."""
        age_ms = self.clock.now() - self.answered_at
        return self.connected and age_ms < self.wait_ms + ANSWER_MS

    def step(self) -> None:
        """Make one call and take in what it brings."""
        try:
            whole = self.position is None
            # One that steps in for another is to know soon whether the store answers.
            wait_ms = self.wait_ms if self.fed else 1.0
            page = self.source.read() if whole else self.source.changes(self.position, wait_ms)
        except HistoryLostError as error:
            log_message("history-lost", table=self.name, reason=error.detail)
            self.position = None
            return
        except StoreUnavailableError as error:
            self.lost(error)
            return
        self.regained()
        self.position = page.position if whole else max(self.position, page.position)
        self.take(page, whole)

    def lost(self, error: StoreUnavailableError) -> None:
        """Record a call without an answer, and pause before the next one."""
        self.metrics.count(Metric.STORE_ERRORS, error.code.name.lower())
        if self.connected or self.lost_at is None:
            self.lost_at = self.clock.now()
            log_message("store-lost", table=self.name, position=self.shown(), reason=error.detail)
            self.connected = False
            self.on_lost()
        self.clock.sleep(self.pause_ms)
        self.pause_ms = min(LONGEST_PAUSE_MS, 2 * self.pause_ms)

    def regained(self) -> None:
        """Record a call that was answered."""
        self.pause_ms = FIRST_PAUSE_MS
        self.answered_at = self.clock.now()
        if self.connected:
            return
        self.connected = True
        if self.lost_at is not None:
            away_ms = round(self.clock.now() - self.lost_at)
            log_message("store-regained", table=self.name, position=self.shown(), away_ms=away_ms)
            self.on_regained()

    def shown(self) -> str:
        """Return the position for the log."""
        return f"{self.position.era}/{self.position.version}" if self.position else ""
