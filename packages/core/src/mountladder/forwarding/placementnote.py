# placementnote.py -- Message that reports the progress of a placed prompt to its coordinator
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message that reports the progress of a placed prompt to its coordinator."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlacementNote:
    """Progress report on a placed prompt.

    Attributes:
        number: The number of the placement order.
        read_ms: The time from sending to the first event, in milliseconds, or 0 without one yet.
        ended: Whether the server has finished the request.
        gone: Whether the server was unreachable, refused the call or was replaced by another one.
        event_ms: The mean time between the stream's events in milliseconds, or 0 if unknown.
        unreachable: Whether the sender could not connect to the server. That may be due to the
            sender's own connections.
        rejected: Whether the server rejected the request for lack of room.
    """

    number: int
    read_ms: float
    ended: bool
    gone: bool = False
    event_ms: float = 0.0
    unreachable: bool = False
    rejected: bool = False
