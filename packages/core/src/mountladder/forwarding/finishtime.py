# finishtime.py -- What a model server takes to its first event
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What a model server takes to its first event."""

from __future__ import annotations

from mountladder.forwarding.prompt import Prompt
from mountladder.routing.prefillspeed import INITIAL_TOKENS_PER_MS

# Fetching results and waiting for the step under way.
LEAST_MS = 100.0
# Most of a prompt is cached, but others are read beside it. A first guess only, of which each route
# learns the ratio to what is seen (StageForecast.factors).
READ_PART = 0.6


def finish_ms(prompt: Prompt | None) -> float:
    """Return the expected time from the last stage to the first event, in milliseconds."""
    tokens = prompt.tokens if prompt is not None else 0
    return LEAST_MS + READ_PART * tokens / INITIAL_TOKENS_PER_MS
