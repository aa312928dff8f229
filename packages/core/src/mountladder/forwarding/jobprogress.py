# jobprogress.py -- Progress of one stage of a request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Progress of one stage of a request."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.stagejob import StageJob

Results = tuple[PieceResult, ...]
Done = Callable[[Results], None]


class JobProgress:
    """Progress of one stage of a request.

    Args:
        job: The pieces.
        done: Called once with the results of all pieces, in their order.
        since: When the pieces were queued, in the clock's milliseconds.

    Attributes:
        results: The results so far, by the number of the piece.
        attempts: How often each piece was sent, by its number.
        begun: Whether any piece was put into a batch.
        fetched: The numbers of the pieces whose running calls have fetched their inputs.
        copies: The number of running calls with each piece, by its number.
        held_back: Whether it had to wait since its results would not be used soon.
        inputs_released: Whether the inputs were released before the stage was done.
        input_servers: The names of the servers that held these inputs when they were released.
        ended: Whether the results were passed to done, or the stage was withdrawn.
    """

    def __init__(self, job: StageJob, done: Done, since: float) -> None:
        self.job = job
        self.done = done
        self.since = since
        self.results: dict[int, PieceResult] = {}
        self.attempts: Counter[int] = Counter()
        self.ended = False
        self.begun = False
        self.fetched: set[int] = set()
        self.copies: Counter[int] = Counter()
        self.held_back = False
        self.inputs_released = False
        self.input_servers: frozenset[str] = frozenset()

    def is_settled(self, fragment: int) -> bool:
        """Return whether a piece needs no result any more."""
        return self.ended or fragment in self.results

    def has_all_inputs(self) -> bool:
        """Return whether inputs that are still stored are not needed by any piece any more."""
        if self.ended or self.inputs_released:
            return False
        return all(n in self.fetched or n in self.results for n in range(self.job.pieces))

    def settle(self, fragment: int, result: PieceResult) -> None:
        """Record the result of one piece; a failure ends the whole stage."""
        if self.is_settled(fragment):
            return
        self.results[fragment] = result
        if result.failure is not None or len(self.results) == self.job.pieces:
            self.ended = True
            missing = PieceResult("", result.failure)
            self.done(tuple(self.results.get(n, missing) for n in range(self.job.pieces)))
