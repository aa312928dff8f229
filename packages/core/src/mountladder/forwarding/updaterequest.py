# updaterequest.py -- Message that requests newer state from a peer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message that requests newer state from a peer."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.store.position import Position


@dataclass(frozen=True, slots=True)
class UpdateRequest:
    """Message that requests newer state from a peer.

    Attributes:
        catalogue: The version of the sender's catalogue, or -1 if it needs no newer one.
        directory: The position of its list of backend servers, or None if it needs no newer
            entries.
        members: Whether it requests the instances that the peer knows.
    """

    catalogue: int
    directory: Position | None
    members: bool = False
