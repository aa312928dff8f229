# beacon.py -- A sign of life with the versions that an instance has
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A sign of life with the versions that an instance has."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.backlog import Backlog
from mountladder.forwarding.datacentredrain import DatacentreDrain
from mountladder.store.position import Position


@dataclass(frozen=True, slots=True)
class Beacon:
    """A sign of life with the versions that an instance has.

    Attributes:
        catalogue: The version of its catalogue, or 0.
        directory: The position of its list of backend servers.
        leaving: Whether it is about to end.
        asks: Whether it is to be answered with another one.
        backlogs: How long pieces wait that meet on the instance.
        reads: Whether it follows the store itself.
        fed: Whether the store has answered it lately.
        judges: Whether it is in touch with several instances of each data centre.
        cut: The data centres that it then takes to be cut off.
        drains: The data centres that the operator drains, or has drained before.
    """

    catalogue: int
    directory: Position
    leaving: bool
    asks: bool
    backlogs: tuple[Backlog, ...] = ()
    reads: bool = False
    fed: bool = False
    judges: bool = False
    cut: tuple[str, ...] = ()
    drains: tuple[DatacentreDrain, ...] = ()
