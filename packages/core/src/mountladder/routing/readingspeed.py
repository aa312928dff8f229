# readingspeed.py -- How fast model servers read prompts
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How fast model servers read prompts."""

from __future__ import annotations

# What is assumed before anything was read: engines in use read 38 to 61 tokens a millisecond, of
# which part goes to the streams beside.
FIRST_TOKENS_PER_MS = 40.0
# The middle of what is seen is followed by steps up and down of this part: from a prior that is
# wrong by half it takes some thirty prompts, a few seconds at one instance for all.
STEP = 0.02
# Shorter reads tell more of the step under way than of the speed.
LEAST_TOKENS = 1_000


class ReadingSpeed:
    """Learns how many prompt tokens a server of one service reads in a millisecond.

    It is the middle of what is seen, with the work of other streams beside, so that estimates
    come true half of the time.

    Attributes:
        tokens_per_ms: The speed.
    """

    def __init__(self) -> None:
        self.tokens_per_ms = FIRST_TOKENS_PER_MS

    def learn(self, tokens: int, elapsed_ms: float) -> None:
        """Learn from the time that a server took for some tokens, those ahead included."""
        if tokens < LEAST_TOKENS:
            return
        faster = tokens > self.tokens_per_ms * elapsed_ms
        self.tokens_per_ms *= 1.0 + STEP if faster else 1.0 - STEP
