# firsteventtime.py -- Estimated time of a model server to its first event
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Estimated time of a model server to its first event."""

from __future__ import annotations

from mountladder.forwarding.prompt import Prompt
from mountladder.routing.prefillspeed import INITIAL_TOKENS_PER_MS

# For fetching stage results and waiting for the batch step that is running.
MIN_MS = 100.0
# Most of a prompt is cached, but the server processes other prompts at the same time. Only an
# initial estimate: each route learns the ratio of measured to estimated times
# (StageForecast.factors).
PREFILL_FRACTION = 0.6


def first_event_ms(prompt: Prompt | None) -> float:
    """Return the expected time from the last stage to the first event, in milliseconds."""
    tokens = prompt.tokens if prompt is not None else 0
    return MIN_MS + PREFILL_FRACTION * tokens / INITIAL_TOKENS_PER_MS
