# request.py -- A validated and authenticated request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A validated and authenticated request."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from mountladder.configuration.pipeline import Pipeline
from mountladder.configuration.team import Team


@dataclass(frozen=True, slots=True)
class Request:
    """A validated and authenticated request.

    Attributes:
        id: The id assigned by the instance.
        pipeline: The requested pipeline.
        team: The team that sent it.
        input: The input as JSON.
        deadline: When the answer must be complete, in the clock's milliseconds.
        key: The caller's Idempotency-Key, or an empty string.
        idempotent: False if the caller marked the whole request as non-idempotent.
    """

    id: str
    pipeline: Pipeline
    team: Team
    input: bytes
    deadline: float
    key: str = ""
    idempotent: bool = True

    @property
    def repeatable(self) -> bool:
        """Return whether every stage of the request may be run again."""
        return self.idempotent and self.pipeline.idempotent

    @property
    def fingerprint(self) -> str:
        """Return a hash of pipeline and input, which detects a key reused for another request."""
        digest = hashlib.sha256(self.pipeline.name.encode() + b"\0" + self.input)
        return digest.hexdigest()[:32]
