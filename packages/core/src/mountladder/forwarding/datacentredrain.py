# datacentredrain.py -- Whether the operator lets the servers of a data centre get nothing
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Whether the operator lets the servers of a data centre get nothing."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.store.position import Position


@dataclass(frozen=True, slots=True)
class DatacentreDrain:
    """Whether the operator lets the servers of a data centre get nothing, as of one change.

    Attributes:
        datacentre: The data centre.
        position: Which change of the store asked for it, or took it back.
        active: Whether its servers are to get nothing.
    """

    datacentre: str
    position: Position
    active: bool
