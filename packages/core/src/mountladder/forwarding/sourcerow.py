# sourcerow.py -- A row of a table that is followed
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A row of a table that is followed."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.store.position import Position


@dataclass(frozen=True, slots=True)
class SourceRow:
    """A row of a table that is followed.

    Attributes:
        key: The row's key.
        value: Its value, or None where the row was removed.
        position: Which change wrote or removed it.
    """

    key: str
    value: bytes | None
    position: Position
