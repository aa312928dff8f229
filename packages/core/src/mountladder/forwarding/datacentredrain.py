# datacentredrain.py -- Whether the operator drains a data centre, as of one position of the store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Whether the operator drains a data centre, as of one position of the store."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.store.position import Position


@dataclass(frozen=True, slots=True)
class DatacentreDrain:
    """Whether the operator drains a data centre, as of one position of the store.

    Attributes:
        datacentre: The data centre.
        position: The change in the store that drained or undrained it.
        active: Whether it is drained, so that its servers get no new work.
    """

    datacentre: str
    position: Position
    active: bool
