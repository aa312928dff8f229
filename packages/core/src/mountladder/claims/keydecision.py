# keydecision.py -- What is to be done with a request that has a key
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What is to be done with a request that has a key."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.claims.issuedkey import IssuedKey
from mountladder.claims.keyrecord import KeyRecord


@dataclass(frozen=True, slots=True)
class KeyDecision:
    """What is to be done with a non-idempotent request; exactly one field is set.

    Attributes:
        run: The record under which it is to be run here.
        replay: The kept answer to give, as JSON.
        home: The issued key whose home must be asked.
    """

    run: KeyRecord | None = None
    replay: bytes | None = None
    home: IssuedKey | None = None
