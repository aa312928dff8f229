# readingplan.py -- How a model server would come by a prompt
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How a model server would come by a prompt."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReadingPlan:
    """How a model server would come by a prompt.

    Attributes:
        read: How many tokens it would read.
        again: How many of them another server keeps.
        unknown: How many of them are shared, and kept by no server as far as is known.
        fetch_ms: How long it would fetch kept tokens from another server, in milliseconds.
        source: The address of that server, or empty.
    """

    read: int
    again: int = 0
    unknown: int = 0
    fetch_ms: float = 0.0
    source: str = ""
