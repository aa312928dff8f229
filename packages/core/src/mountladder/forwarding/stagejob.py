# stagejob.py -- All pieces of one stage of one request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""All pieces of one stage of one request."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from mountladder.forwarding.backlog import place
from mountladder.forwarding.piece import Piece


@dataclass(frozen=True, slots=True)
class StageJob:
    """All pieces of one stage of one request.

    Attributes:
        request: The caller's id of the request.
        stage: The number of the stage in the request's route.
        service: The service that works on it.
        pieces: How many pieces it has.
        key: What it works on, at stages that need no results of others.
        inputs: The handles of all results it needs, at other stages.
        deadline: When it is of no use any more, in the clock's milliseconds.
        due: When it has to be done for the answer to be on time.
        urgency: The rank of its request, 0 first.
        result_bytes: About how large the result of one piece is.
        give_up: When it is given up if none of it is begun, in the clock's milliseconds.
        datacentre: Where its results are needed, or an empty string where that does not matter.
        fingerprint: What all attempts at the request have in common at the service, or empty.
    """

    request: str
    stage: int
    service: str
    pieces: int
    key: str
    inputs: tuple[str, ...]
    deadline: float
    due: float
    urgency: int
    result_bytes: float
    datacentre: str
    give_up: float = math.inf
    fingerprint: str = ""

    def piece(self, fragment: int) -> Piece:
        """Return one of its pieces."""
        return Piece(self.request, self.stage, fragment, self.key, self.inputs, self.deadline)

    def gives_way(self, now: float) -> bool:
        """Tell whether it goes behind all that can be on time, since it is late already."""
        return self.due < now

    def place(self, now: float) -> int:
        """Return the place of its pieces in a queue, one of PLACES."""
        return place(self.urgency, self.gives_way(now))

    def shifted(self, by_ms: float) -> StageJob:
        """Return the same with other times, such as relative ones to be sent to a peer."""
        return replace(
            self,
            deadline=self.deadline + by_ms,
            due=self.due + by_ms,
            give_up=self.give_up + by_ms,
        )
