# ranstage.py -- One run of a stage at a stand-in
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One run of a stage at a stand-in."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RanStage:
    """One call that a stand-in began to run.

    Attributes:
        server: The stand-in's name.
        work: The kind of work, or the stage's name at a plain service.
        attempt: The attempt's id.
        input_hash: A hash of the request's input.
        at_ms: When it began, in the clock's milliseconds.
    """

    server: str
    work: str
    attempt: str
    input_hash: str
    at_ms: float
