# jobprogress.py -- How far a stage of a request has come
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How far a stage of a request has come."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.stagejob import StageJob

Results = tuple[PieceResult, ...]
Done = Callable[[Results], None]


class JobProgress:
    """How far a stage of a request has come.

    Args:
        job: The pieces.
        done: Called once with the results of all pieces, in their order.
        since: When the pieces began to wait, in the clock's milliseconds.

    Attributes:
        results: The results so far, by the number of the piece.
        tries: How often each piece was sent.
        begun: Whether any piece was taken to be sent.
        ended: Whether the results were handed over, or are not wanted any more.
    """

    def __init__(self, job: StageJob, done: Done, since: float) -> None:
        self.job = job
        self.done = done
        self.since = since
        self.results: dict[int, PieceResult] = {}
        self.tries: Counter[int] = Counter()
        self.ended = False
        self.begun = False

    def has(self, fragment: int) -> bool:
        """Tell whether a piece needs no result any more."""
        return self.ended or fragment in self.results

    def settle(self, fragment: int, result: PieceResult) -> None:
        """Take in the result of one piece; a failed one ends the whole stage."""
        if self.has(fragment):
            return
        self.results[fragment] = result
        if result.failure is not None or len(self.results) == self.job.pieces:
            self.ended = True
            missing = PieceResult("", result.failure)
            self.done(tuple(self.results.get(n, missing) for n in range(self.job.pieces)))
