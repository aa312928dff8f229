# eratracker.py -- Detects that the platform's store was restored from an older copy
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Detects that the platform's store was restored from an older copy."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message

# Max. age of a copy that the store is restored from: three times the history that it keeps. Copies
# are normally some seconds old.
MAX_COPY_AGE_MS = 60_000.0


class EraTracker:
    """Tracks the newest era of the platform's store that an instance has seen from any source.

    Attributes:
        newest: The newest era, or None before the first one.
        listeners: Called whenever a newer era replaces one seen before. The store may then have
            lost what this system wrote in the last seconds.
    """

    def __init__(self) -> None:
        self.newest: int | None = None
        self.listeners: list[Callable[[], None]] = []

    def observe(self, era: int, source: str) -> None:
        """Record an era and call the listeners if it is newer than one seen before.

        Args:
            era: The era.
            source: Where it was seen, for the log.
        """
        if self.newest is not None and era <= self.newest:
            return
        previous, self.newest = self.newest, era
        if previous is None:
            return
        log_message("store-restored-older-copy", era=era, previous_era=previous, source=source)
        for listener in self.listeners:
            listener()
