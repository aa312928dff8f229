# position.py -- A position in the history of the platform's store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A position in the history of the platform's store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A position in the history of the platform's store, ordered by era and then by version.

    After an outage the store may be restored from a copy that is some seconds old. Versions then go
    back and are assigned again, so that versions can be compared only within one era.

    Attributes:
        era: How often the store was restored from an older copy, as it reports; 0 if it does not.
        version: The number of the last change in that era.
    """

    era: int
    version: int


# The position before anything was read.
BEGINNING = Position(0, 0)
