# position.py -- A position in the history of the platform's store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A position in the history of the platform's store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A position in the history of the platform's store, ordered by era and then by version.

    After an outage the store may come back from a copy some seconds old. Versions then go back and
    are given out again, so that two versions compare only within one era.

    Attributes:
        era: How often the store has come back from an older copy, as it tells; 0 where it does not.
        version: Which change of that era.
    """

    era: int
    version: int


# Before anything was read.
BEGINNING = Position(0, 0)
