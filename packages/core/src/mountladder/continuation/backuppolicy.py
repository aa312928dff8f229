# backuppolicy.py -- Decides whether a stream gets a copy of its cache
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Decides whether a stream gets a copy of its cache at a second server.

The load it handles: servers that crash, drain or are cut off in the middle of long streams that may
not be repeated. A copy is worth its bytes if the stream is exposed to such a failure for long.
"""

from __future__ import annotations

from mountladder.continuation.backupdecision import BackupDecision
from mountladder.continuation.backuplimits import BackupLimits
from mountladder.continuation.streampace import StreamPace
from mountladder.forwarding.prompt import Prompt

# The most bytes that are copied for each second that a stream runs. On a day with many failures
# about 4 % of the streams break for each second that they run, so that at this rate one caller in
# 3.75 GB is spared an incomplete answer and a second run. That is 3 s of a link of 10 Gbit/s, about
# as long as the stream itself, and other callers' inputs and prompt parts pass the same links.
# Long answers to short prompts need two thirds of this rate (980 tokens of 262,144 bytes, 2.5 s),
# short answers to long prompts thirty times the rate (9,252 tokens, 0.5 s).
MAX_BYTES_PER_S = 150e6


class BackupPolicy:
    """Decides by the bytes of a copy for each second that the stream is at risk."""

    def decide(self, prompt: Prompt, limits: BackupLimits, pace: StreamPace) -> BackupDecision:
        """Return whether a stream gets a copy, with the inputs of the decision.

        While a prompt is read there is little to copy, and the run is at risk for a fraction of a
        second, so only the time after the first event counts.

        Args:
            prompt: The prompt of the stream.
            limits: The cost of copies at its service.
            pace: The observed pace of streams of its route.
        """
        tokens = prompt.tokens + prompt.max_output
        return BackupDecision(
            tokens=tokens,
            size=tokens * limits.token_bytes,
            at_risk_ms=pace.expected_ms(prompt.max_output),
            # A copy that needs more than the server's whole link is never complete in time.
            max_bytes_per_s=min(MAX_BYTES_PER_S, limits.link_bytes_per_s),
            samples=pace.samples,
        )
