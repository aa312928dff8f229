# promptusage.py -- What placed prompts take up at model servers, and for how long
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What placed prompts take up at model servers, and for how long."""

from __future__ import annotations

from collections import Counter

from mountladder.forwarding.backlog import rank
from mountladder.forwarding.placedprompt import PlacedPrompt

# Weight of a new sample in the moving average of the time that prompts run: about twenty prompts.
RUN_WEIGHT = 0.05


class PromptUsage:
    """Counts the tokens of running prompts at each server, and learns how long prompts run.

    Attributes:
        held_tokens: The tokens that running prompts need in a server's memory, by the server's name
            and their rank.
        run_ms: The mean time from the placement of a prompt to its end in milliseconds, by service.
        placed_at: When a prompt was last placed, in the clock's milliseconds, by service.
    """

    def __init__(self) -> None:
        self.held_tokens: dict[str, Counter[int]] = {}
        self.run_ms: dict[str, float] = {}
        self.placed_at: dict[str, float] = {}

    def record_start(self, placed: PlacedPrompt) -> None:
        """Record that a prompt is sent to its server."""
        if placed.held_tokens:
            tokens = self.held_tokens.setdefault(placed.server, Counter())
            tokens[rank(placed.urgency)] += placed.held_tokens
        self.placed_at[placed.service] = placed.placed_at

    def record_end(self, placed: PlacedPrompt, was_read: bool, now: float) -> None:
        """Record that a prompt has ended.

        Args:
            placed: The prompt.
            was_read: Whether its server has sent a first event; other prompts tell nothing about
                the time that a prompt runs.
            now: The clock's time.
        """
        if placed.held_tokens:
            tokens = self.held_tokens[placed.server]
            tokens[rank(placed.urgency)] -= placed.held_tokens
            if not any(tokens.values()):
                del self.held_tokens[placed.server]
        if was_read:
            elapsed_ms = now - placed.placed_at
            run_ms = self.run_ms.get(placed.service, elapsed_ms)
            self.run_ms[placed.service] = run_ms + RUN_WEIGHT * (elapsed_ms - run_ms)
