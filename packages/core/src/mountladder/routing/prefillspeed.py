# prefillspeed.py -- Learns how fast model servers read prompts
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Learns how fast model servers read prompts."""

from __future__ import annotations

# The initial assumption: engines read 38 to 61 tokens a millisecond, and concurrent streams take a
# share of that.
INITIAL_TOKENS_PER_MS = 40.0
# The running median moves up or down by this fraction per measurement: an initial value that is
# wrong by half is corrected after about 30 prompts, a few seconds where one instance places all.
STEP_FRACTION = 0.02
# The time of a shorter read depends more on the engine's current step than on the reading speed.
MIN_TOKENS = 1_000


class PrefillSpeed:
    """Learns how many prompt tokens a server of one service reads in a millisecond.

    The speed is the running median of the measurements, which include the effect of concurrent
    streams, so that half of the estimates are met.

    Attributes:
        tokens_per_ms: The learned speed.
    """

    def __init__(self) -> None:
        self.tokens_per_ms = INITIAL_TOKENS_PER_MS

    def learn(self, tokens: int, elapsed_ms: float) -> None:
        """Update the speed from the time that a server took for some tokens.

        Args:
            tokens: The number of tokens, including those queued ahead of the prompt.
            elapsed_ms: The time, in milliseconds."""
        if tokens < MIN_TOKENS:
            return
        faster = tokens > self.tokens_per_ms * elapsed_ms
        self.tokens_per_ms *= 1.0 + STEP_FRACTION if faster else 1.0 - STEP_FRACTION
