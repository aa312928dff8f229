# beacon.py -- Heartbeat between forwarding instances, with the versions that the sender has
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Heartbeat between forwarding instances, with the versions that the sender has."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.backlog import Backlog
from mountladder.forwarding.datacentredrain import DatacentreDrain
from mountladder.store.position import Position


@dataclass(frozen=True, slots=True)
class Beacon:
    """Heartbeat between forwarding instances, with the versions that the sender has.

    Attributes:
        catalogue: The version of the sender's catalogue, or 0.
        directory: The position of the newest entry in its list of backend servers.
        leaving: Whether it is shutting down.
        wants_reply: Whether the receiver is to reply with a beacon of its own.
        backlogs: How long pieces wait at the services that the sender coordinates.
        reads_store: Whether it polls the store itself.
        store_answers: Whether the store has answered it within the time that a call may take.
        detects_partitions: Whether it has links to the coordinators of other data centres, so that
            `unreachable` counts.
        unreachable: The data centres that it then considers unreachable.
        drains: Every data centre that the operator drains, or has drained before.
        isolated: Whether it can reach no backend server.
        list_age_ms: If it polls the store and is answered, how long ago the store last told it of
            the list of backend servers, in milliseconds. Instances of an older build say 0.
        members_age_s: How old its last reading of the list of instances is, in seconds, rounded
            up; 0 if it does not read the list for others, or does not tell.
    """

    catalogue: int
    directory: Position
    leaving: bool
    wants_reply: bool
    backlogs: tuple[Backlog, ...] = ()
    reads_store: bool = False
    store_answers: bool = False
    detects_partitions: bool = False
    unreachable: tuple[str, ...] = ()
    drains: tuple[DatacentreDrain, ...] = ()
    isolated: bool = False
    list_age_ms: int = 0
    members_age_s: int = 0
