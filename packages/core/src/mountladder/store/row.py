# row.py -- A row of the table service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A row of the table service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service, as it was read.

    Attributes:
        key: The row's key.
        value: Its value.
        version: The number of the transaction that wrote it; 1 or more.
    """

    key: str
    value: bytes
    version: int
