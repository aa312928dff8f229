# eras.py -- Noticing that the platform's store has come back from an older copy
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Noticing that the platform's store has come back from an older copy."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message

# A copy that the store comes back from is some seconds old (the users' letter); three times the
# history that it keeps is taken as the most.
OLDEST_COPY_MS = 60_000.0


class Eras:
    """The newest era of the platform's store that an instance has heard of, from whomever.

    Attributes:
        newest: That era, or None before the first word.
        listeners: Called after each rise, when what this system wrote in the last seconds may be
            gone from the store. The first word is no rise.
    """

    def __init__(self) -> None:
        self.newest: int | None = None
        self.listeners: list[Callable[[], None]] = []

    def see(self, era: int, source: str) -> None:
        """Take in an era.

        Args:
            era: The era.
            source: Who told, for the log.
        """
        if self.newest is not None and era <= self.newest:
            return
        before, self.newest = self.newest, era
        if before is None:
            return
        log_message("store-came-back-older", era=era, before=before, source=source)
        for listener in self.listeners:
            listener()
