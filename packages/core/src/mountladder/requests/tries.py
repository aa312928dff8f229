# tries.py -- The attempts made at one stage of one request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The attempts made at one stage of one request."""

from __future__ import annotations

from mountladder.configuration.stage import Stage


class Tries:
    """Counts the attempts at a stage and the servers that failed it.

    Attributes:
        count: How many attempts were begun.
        failed: The names of the servers that failed it.
        tokens: How many tokens of its stream are held.
    """

    def __init__(self, stage: Stage, body: bytes, started: float) -> None:
        self.stage = stage
        self.body = body
        self.started = started
        self.count = 0
        self.failed: frozenset[str] = frozenset()
        self.tokens = 0
