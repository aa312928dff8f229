# changes.py -- Message with configuration changes
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message with configuration changes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of the configuration, oldest first.

    Attributes:
        values: The changes, encoded as in the store.
    """

    values: tuple[bytes, ...]
