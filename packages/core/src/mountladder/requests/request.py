# request.py -- A request of a caller
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A request of a caller."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from mountladder.configuration.pipeline import Pipeline
from mountladder.configuration.team import Team


@dataclass(frozen=True, slots=True)
class Request:
    """A request that was read and authenticated.

    Attributes:
        id: The id the instance gave it.
        pipeline: The pipeline it names.
        team: The team that sent it.
        input: The input as JSON.
        deadline: When the answer must be whole, in the clock's milliseconds.
        key: The caller's Idempotency-Key, or an empty string.
        idempotent: False where the caller marked the whole request as non-idempotent.
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
        """Tell whether every stage of the request may be run again."""
        return self.idempotent and self.pipeline.idempotent

    @property
    def fingerprint(self) -> str:
        """Return a hash of what the request asks for, by which a reused key is found out."""
        digest = hashlib.sha256(self.pipeline.name.encode() + b"\0" + self.input)
        return digest.hexdigest()[:32]
