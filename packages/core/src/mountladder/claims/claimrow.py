# claimrow.py -- Rows of the store that hold claims on idempotency keys
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0
"""Rows of the store that hold claims on idempotency keys."""

from __future__ import annotations

from mountladder.claims.keyrecord import KeyRecord
from mountladder.errors import BadRowError
from mountladder.store.row import Row
from mountladder.store.write import ABSENT, Write

CLAIM_PREFIX = "claim/"


def claim_key(key: str) -> str:
    """Return the key of the row that holds a claim."""
    return CLAIM_PREFIX + key


def claim_write(record: KeyRecord) -> Write:
    """Return the write that claims a key, on condition that nobody has claimed it."""
    return Write(claim_key(record.key), record.encode(), ABSENT)


def claimed_at(row: Row) -> float:
    """Return when a claim was made, or minus infinity for a malformed row."""
    try:
        return KeyRecord.decode(row.value).at_ms
    except BadRowError:
        return float("-inf")
