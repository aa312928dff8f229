# want.py -- Asking a peer for what is newer there
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Asking a peer for what is newer there."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.store.position import Position


@dataclass(frozen=True, slots=True)
class Want:
    """Asking a peer for what is newer there.

    Attributes:
        catalogue: The version of the catalogue that the asking instance has, or -1 for none wanted.
        directory: The position of its list of backend servers, or None for none wanted.
        members: Whether it wants to know which instances there are.
    """

    catalogue: int
    directory: Position | None
    members: bool = False
