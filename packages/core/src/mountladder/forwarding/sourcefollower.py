# sourcefollower.py -- Follows a table of the store by long polling
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Follows a table of the store by long polling."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.errors import BadRowError, HistoryLostError, StoreUnavailableError
from mountladder.forwarding.source import Source
from mountladder.forwarding.sourcepage import SourcePage
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.store.position import Position

# How long one call waits for a change by default; instances set it from their settings.
WAIT_MS = 500.0
# How much longer than that an answer may take. The store answers in about 4 ms, in 320 ms while it
# is slow, and never while it is unreachable.
ANSWER_MS = 600.0
# How often an instance that does not poll the store checks whether it has to start.
CHECK_MS = 50.0
# A call that is to return at once, with or without changes.
NO_WAIT_MS = 1.0
# How many calls are made to find out since when the store has its history.
HISTORY_SEARCHES = 6
MIN_PAUSE_MS = 100.0
MAX_PAUSE_MS = 800.0


class SourceFollower:
    """Keeps an instance's view of one table up to date, as long as the store answers.

    Args:
        name: The table's name, for the log.
        source: The table.
        clock: The clock.
        metrics: Where failed calls are counted.
        on_page: Called with each page, and whether it holds the whole table.
        wait_ms: How long one call waits for a change.
        is_due: Returns whether this instance is to poll the table, once it has read it in full.
        idle_ms: Returns for how long that is certainly not so.

    Attributes:
        position: The position up to which the table was read, or None before the first reading.
        wake: Set when `is_due` may have changed.
        connected: Whether the last call was answered.
        answered_at: When the store answered last.
        current_at: As of when the view is current at least, since an answer may arrive late.
        on_unreachable: Called when the store stops answering.
        on_reachable: Called when it answers again.
    """

    def __init__(
        self,
        name: str,
        source: Source,
        clock: Clock,
        metrics: Metrics,
        on_page: Callable[[SourcePage, bool], None],
        wait_ms: float = WAIT_MS,
        is_due: Callable[[], bool] = lambda: True,
        idle_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.name = name
        self.source = source
        self.clock = clock
        self.metrics = metrics
        self.on_page = on_page
        self.wait_ms = wait_ms
        self.is_due = is_due
        self.idle_ms = idle_ms
        self.wake = Event()
        self.position: Position | None = None
        self.connected = False
        self.answered_at = self.current_at = float("-inf")
        self.unreachable_since: float | None = None
        self.pause_ms = MIN_PAUSE_MS
        self.on_unreachable: Callable[[], None] = lambda: None
        self.on_reachable: Callable[[], None] = lambda: None

    def run(self) -> None:
        """Follow the table forever, whenever this instance is to poll it."""
        while True:
            if self.position is None or self.is_due():
                self.step()
            else:
                self.clock.wait(self.wake, max(CHECK_MS, self.idle_ms()))
                self.wake.clear()

    @property
    def is_answered(self) -> bool:
        """Return whether the store has answered within the time that a call may take."""
        age_ms = self.clock.now() - self.answered_at
        return self.connected and age_ms < self.wait_ms + ANSWER_MS

    def step(self) -> None:
        """Make one call to the store and pass on the page that it returns."""
        try:
            whole, begun_at = self.position is None, self.clock.now()
            # An instance that has just taken over must know soon whether the store answers.
            wait_ms = self.wait_ms if self.is_answered else NO_WAIT_MS
            page = self.source.read() if whole else self.source.changes(self.position, wait_ms)
        except HistoryLostError as error:
            log_message("history-lost", table=self.name, reason=error.detail)
            self.position = None
            return
        except (StoreUnavailableError, BadRowError) as error:
            self.record_failure(error)
            return
        self.record_answer()
        # An answer without a change was made when the wait had ended.
        has_waited = not (whole or page.rows) and self.clock.now() - begun_at >= wait_ms
        self.position = page.position if whole else max(self.position, page.position)
        self.on_page(page, whole)
        self.current_at = begun_at + wait_ms if has_waited else begun_at

    def read_changes(self, after: Position) -> bool:
        """Pass on what has changed after a position, also where this instance does not poll.

        Returns:
            Whether the store has answered.
        """
        try:
            page, whole = self.changes_or_all(after)
        except (HistoryLostError, StoreUnavailableError, BadRowError) as error:
            log_message("changes-unavailable", table=self.name, reason=error.detail)
            return False
        self.on_page(page, whole)
        return True

    def changes_since(self, after: Position, newest: Position) -> SourcePage | None:
        """Return what has changed after a position, or since the store's history begins.

        Args:
            after: The position.
            newest: A later position up to which the table was read.

        Returns:
            The changes; None if the store is of another era than the positions.

        Raises:
            StoreUnavailableError: The store did not answer.
            BadRowError: Its answer cannot be read.
        """
        page = self.known_changes(after)
        if page is not None or newest.era != after.era:
            return page
        page = self.known_changes(newest)
        lost, known = after.version, newest.version
        for _ in range(HISTORY_SEARCHES):
            middle = (lost + known) // 2
            if page is None or middle in {lost, known}:
                break
            found = self.known_changes(Position(after.era, middle))
            if found is None:
                lost = middle
            else:
                page, known = found, middle
        log_message("history-searched", table=self.name, after=after.version, known=known)
        return page

    def known_changes(self, after: Position) -> SourcePage | None:
        """Return what has changed after a position, or None if the store has lost that."""
        try:
            return self.source.changes(after, NO_WAIT_MS)
        except HistoryLostError:
            return None

    def changes_or_all(self, after: Position) -> tuple[SourcePage, bool]:
        """Return what has changed after a position, or all rows if the store has lost that.

        Returns:
            The page, and whether it holds all rows.
        """
        try:
            return self.source.changes(after, NO_WAIT_MS), False
        except HistoryLostError:
            return self.source.read(), True

    def record_failure(self, error: StoreUnavailableError | BadRowError) -> None:
        """Record a call without an answer that can be read, and pause before the next one."""
        self.metrics.count(Metric.STORE_ERRORS, error.code.name.lower())
        if self.connected or self.unreachable_since is None:
            self.unreachable_since = self.clock.now()
            log_message(
                "store-unreachable",
                table=self.name,
                position=self.position_text(),
                reason=error.detail,
            )
            self.connected = False
            self.on_unreachable()
        self.clock.sleep(self.pause_ms)
        self.pause_ms = min(MAX_PAUSE_MS, 2 * self.pause_ms)

    def record_answer(self) -> None:
        """Record an answered call."""
        self.pause_ms = MIN_PAUSE_MS
        self.answered_at = self.clock.now()
        if self.connected:
            return
        self.connected = True
        if self.unreachable_since is not None:
            away_ms = round(self.clock.now() - self.unreachable_since)
            log_message(
                "store-reachable", table=self.name, position=self.position_text(), away_ms=away_ms
            )
            self.on_reachable()

    def position_text(self) -> str:
        """Return the position as era/version for the log, or an empty string."""
        return f"{self.position.era}/{self.position.version}" if self.position else ""
