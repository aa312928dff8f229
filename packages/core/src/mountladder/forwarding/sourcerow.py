# sourcerow.py -- A row of a followed table
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A row of a followed table."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.store.position import Position


@dataclass(frozen=True, slots=True)
class SourceRow:
    """A row of a followed table.

    Attributes:
        key: The row's key.
        value: Its value, or None if the row was removed.
        position: The change that wrote or removed it.
    """

    key: str
    value: bytes | None
    position: Position
