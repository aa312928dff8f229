# changes.py -- Changes sent to a peer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Changes sent to a peer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of the configuration, oldest first.

    Attributes:
        values: The changes as they stand in the store.
    """

    values: tuple[bytes, ...]
