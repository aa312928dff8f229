# keydecision.py -- The decision about a request that has an idempotency key
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The decision about a request that has an idempotency key."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.claims.issuedkey import IssuedKey
from mountladder.claims.keyrecord import KeyRecord


@dataclass(frozen=True, slots=True)
class KeyDecision:
    """How to handle a non-idempotent request; exactly one field is set.

    Attributes:
        record: The record under which to run it here.
        stored_answer: The stored answer to return, as JSON.
        issued_key: The issued key, if the request must be passed to the instance that issued it.
    """

    record: KeyRecord | None = None
    stored_answer: bytes | None = None
    issued_key: IssuedKey | None = None
