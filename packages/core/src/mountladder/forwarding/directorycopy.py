# directorycopy.py -- Entries of the list of backend servers from a peer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Entries of the list of backend servers from a peer."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.serverrecord import ServerRecord
from mountladder.store.position import Position


@dataclass(frozen=True, slots=True)
class DirectoryCopy:
    """Entries of the list of backend servers from a peer.

    Attributes:
        position: The position up to which the peer knows the list.
        records: The entries that changed since the position that was asked for.
        lapse_ms: How long yet removed entries may come back after the store's return.
    """

    position: Position
    records: tuple[ServerRecord, ...]
    lapse_ms: float = 0.0
