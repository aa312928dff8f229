# attempt.py -- A started attempt at a stage
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A started attempt at a stage."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.requests.stagecall import StageCall
from mountladder.routing.choice import Choice


@dataclass(frozen=True, slots=True)
class Attempt:
    """A started attempt at a stage on a chosen server.

    Attributes:
        choice: The routing decision.
        call: The call to the server.
        started: When it started, in the clock's milliseconds.
    """

    choice: Choice
    call: StageCall
    started: float
