# resultneed.py -- How long the results of a stage are needed
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How long the results of a stage are needed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

# A stage is held back if its results would wait longer than this fraction of the time after which
# they expire: the expected waits are uncertain by about half, so that they might expire unused.
MAX_WAIT_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class ResultNeed:
    """How long the results of a stage are needed, if its call begins now.

    Attributes:
        call_ms: The expected time of the call, in milliseconds.
        wait_ms: How long the results then wait for the next step to begin, in milliseconds.
        next_call_ms: The expected time of the next step's call, in milliseconds.
        result_ttl_ms: How long a result is kept at most, in milliseconds.
    """

    call_ms: float
    wait_ms: float
    next_call_ms: float
    result_ttl_ms: float

    @property
    def hold_ms(self) -> float:
        """Return how long the results take up memory from the start of the call, in ms."""
        return self.call_ms + min(self.wait_ms + self.next_call_ms, self.result_ttl_ms)

    @property
    def is_behind(self) -> bool:
        """Return whether the next step is so far behind that the results might expire unused."""
        return self.wait_ms > MAX_WAIT_FRACTION * self.result_ttl_ms


def need(
    call_ms: float, routes: Iterable[Iterable[tuple[float, float]]], result_ttl_ms: float
) -> ResultNeed:
    """Return how long the results of a stage are needed.

    Args:
        call_ms: The expected time of its call, in milliseconds.
        routes: For each route that the stage may belong to, the expected wait and call time of each
            step that reads the results. All of a route's steps need them, and of several routes the
            one with the shortest need counts, so that no stage is held back by mistake.
        result_ttl_ms: How long a result is kept at most, in milliseconds.
    """
    needs = []
    for steps in routes:
        # The queue of the next step becomes shorter while the call runs.
        known = [(max(0.0, wait_ms - call_ms), next_ms) for wait_ms, next_ms in steps]
        wait_ms, next_ms = max(known, key=sum, default=(0.0, 0.0))
        needs.append(ResultNeed(call_ms, wait_ms, next_ms, result_ttl_ms))
    return min(
        needs, key=lambda one: one.hold_ms, default=ResultNeed(call_ms, 0.0, 0.0, result_ttl_ms)
    )
