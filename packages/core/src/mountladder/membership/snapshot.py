# snapshot.py -- Message with a whole configuration, for a peer that is too far behind
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message with a whole configuration, for a peer that is too far behind."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Message with a whole configuration, for a peer whose revision is too old for changes.

    Attributes:
        value: The configuration, encoded as in the object store.
    """

    value: bytes
