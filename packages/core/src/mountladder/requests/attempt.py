# attempt.py -- One attempt that was begun
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One attempt that was begun."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.requests.stagecall import StageCall
from mountladder.routing.choice import Choice


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt that was begun on a chosen server.

    Attributes:
        choice: The routing decision.
        call: What the server is asked.
        started: When, in the clock's milliseconds.
    """

    choice: Choice
    call: StageCall
    started: float
