# loads.py -- Which engines load models, also those that do not answer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which engines load models, also those that do not answer."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.engines.enginestate import EngineState

# An engine that does not answer any more certainly loads nothing after this time.
MAX_LOAD_MS = 600_000.0


class Loads:
    """Tracks which engines load models, for the limit on loads at once.

    An engine that was loading when it last answered, or was ordered to load since, counts as
    loading until it answers otherwise, or for the longest time that a load takes.

    Args:
        clock: The clock.

    Attributes:
        loading_at: When each engine was last known to load or ordered to, by its name.
        assumed: The engines that count as loading although they do not answer.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.loading_at: dict[str, float] = {}
        self.assumed: set[str] = set()

    def record_order(self, name: str) -> None:
        """Record that an engine is ordered to load a model, whether or not the order arrives."""
        self.loading_at[name] = self.clock.now()

    def count(self, names: Iterable[str], states: Mapping[str, EngineState]) -> int:
        """Return how many engines are loading.

        Args:
            names: The names of all engines; others are forgotten.
            states: The states of those that answered, by name.
        """
        now = self.clock.now()
        for name, state in states.items():
            if state.loading:
                self.loading_at[name] = now
            else:
                self.loading_at.pop(name, None)
        oldest, known = now - MAX_LOAD_MS, set(names)
        self.loading_at = {
            name: at for name, at in self.loading_at.items() if at > oldest and name in known
        }
        self.log(self.loading_at.keys() - states.keys())
        return len(self.loading_at)

    def log(self, assumed: set[str]) -> None:
        """Log which engines count as loading although they do not answer, if that has changed."""
        if assumed == self.assumed:
            return
        log_message("loads-assumed", servers=sorted(assumed), before=sorted(self.assumed))
        self.assumed = assumed
