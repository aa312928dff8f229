# ranstage.py -- Record of a call that a stand-in server began
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Record of a call that a stand-in server began."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RanStage:
    """A call that a stand-in server began to run.

    Attributes:
        server: The server's name.
        work: The kind of work; for a plain service, the name of the stage.
        attempt: The attempt's id.
        input_hash: A short hash of the request's input.
        at_ms: When it began, in the clock's milliseconds.
    """

    server: str
    work: str
    attempt: str
    input_hash: str
    at_ms: float
