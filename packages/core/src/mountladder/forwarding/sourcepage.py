# sourcepage.py -- Rows of a followed table up to one position of the store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Rows of a followed table up to one position of the store."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.sourcerow import SourceRow
from mountladder.store.position import Position


@dataclass(frozen=True, slots=True)
class SourcePage:
    """Rows of a followed table up to one position of the store.

    Attributes:
        rows: The rows.
        position: The position up to which they are complete.
    """

    rows: tuple[SourceRow, ...]
    position: Position
