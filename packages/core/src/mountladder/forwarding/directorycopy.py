# directorycopy.py -- Message with entries of the list of backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message with entries of the list of backend servers."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.serverrecord import ServerRecord
from mountladder.store.position import Position


@dataclass(frozen=True, slots=True)
class DirectoryCopy:
    """Message with entries of the list of backend servers.

    Attributes:
        position: The position up to which the sender's list is complete.
        records: The entries that changed after the requested position.
        reappear_ms: For how long removed entries may still reappear after the store's return.
    """

    position: Position
    records: tuple[ServerRecord, ...]
    reappear_ms: float = 0.0
