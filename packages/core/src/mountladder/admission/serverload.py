# serverload.py -- Load of one model server, as its placement coordinator knows it
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Load of one model server, as its placement coordinator knows it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load of one model server, as its placement coordinator knows it.

    Attributes:
        pending_tokens: The number of tokens that it has yet to read.
        running: The number of prompts that were sent to it and have not ended.
        slots: The number of prompts that it runs in one batch.
        held_tokens: The tokens that these prompts need in its memory, by their rank.
        time_factor: The expected time of work there as a multiple of the usual one.
    """

    pending_tokens: int
    running: int
    slots: int
    held_tokens: Mapping[int, int]
    time_factor: float = 1.0
