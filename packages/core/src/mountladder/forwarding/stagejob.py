# stagejob.py -- All pieces of one stage of one request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""All pieces of one stage of one request."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from mountladder.admission.attemptkind import AttemptKind
from mountladder.forwarding.backlog import late_group, priority_class
from mountladder.forwarding.piece import Piece


@dataclass(frozen=True, slots=True)
class StageJob:
    """All pieces of one stage of one request.

    Attributes:
        request: The caller's id of the request.
        stage: The number of the stage in the request's route.
        service: The service that runs it.
        pieces: The number of its pieces.
        key: The input of a stage that depends on no other stage.
        inputs: The handles of the results it needs, if it depends on other stages.
        deadline: When its results are no longer useful, in the clock's milliseconds.
        due: When it must be done for the answer to be on time, in the clock's milliseconds.
        urgency: The rank of its request; 0 is the most urgent.
        result_bytes: The approximate size of the result of one piece.
        datacentre: The preferred data centre to run in, which holds or needs much of its data, or
            an empty string for any.
        give_up: When it is given up if none of its pieces is begun, in the clock's milliseconds.
        fingerprint: The fingerprint of the request at this service, equal for all its attempts, or
            empty.
        team: The name of the request's team, or an empty string.
        releases_inputs: Whether nothing else needs the inputs, so that they may be released once
            the servers have fetched them.
        attempt: Whether its request returns after a refusal.
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
    team: str = ""
    releases_inputs: bool = False
    attempt: AttemptKind = AttemptKind.FIRST

    def piece(self, fragment: int) -> Piece:
        """Return a piece of the stage."""
        return Piece(self.request, self.stage, fragment, self.key, self.inputs, self.deadline)

    def gives_way(self, now: float) -> bool:
        """Return whether the stage can't be on time and is queued behind all that can."""
        return self.due < now

    def priority_class(self, now: float) -> int:
        """Return the priority class of the pieces, one of PRIORITY_CLASSES."""
        return priority_class(self.urgency, self.gives_way(now), self.attempt)

    def late_group(self) -> int:
        """Return the place of the pieces among those that give way; 0 goes first."""
        return late_group(self.urgency, self.attempt)

    def shifted(self, by_ms: float) -> StageJob:
        """Return a copy with its times shifted, such as relative times to send to a peer."""
        return replace(
            self,
            deadline=self.deadline + by_ms,
            due=self.due + by_ms,
            give_up=self.give_up + by_ms,
        )
