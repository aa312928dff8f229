# write.py -- A conditional write of one row in a transaction
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A conditional write of one row in a transaction."""

from __future__ import annotations

from dataclasses import dataclass

# The version of a row that does not exist.
ABSENT = 0


@dataclass(frozen=True, slots=True)
class Write:
    """A conditional write of one row.

    Attributes:
        key: The row's key.
        value: The new value, or None to delete the row.
        expected: The version the row must have, ABSENT if it must not exist, None for any.
    """

    key: str
    value: bytes | None
    expected: int | None = None
