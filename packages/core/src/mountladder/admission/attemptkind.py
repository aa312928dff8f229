# attemptkind.py -- Whether a request is a first attempt, or returns after a refusal
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Whether a request is a first attempt, or returns after a refusal."""

from __future__ import annotations

from enum import Enum

# Every refusal names at least this time to return, in milliseconds: backlogs are announced about
# every 250 ms and change by one call within about 400 ms, so that an earlier retry meets the
# backlog that it was refused for.
MIN_RETURN_MS = 800.0


class AttemptKind(Enum):
    """Whether a request is a first attempt, or returns after a refusal.

    Handles callers that return in a wave and are refused again, and callers that ignore the time
    they were given. The kind decides the order of requests that cannot be on time; the value is the
    one sent to other instances.
    """

    FIRST = 0
    RETURN = 1
    EARLY_RETURN = 2

    @property
    def place(self) -> int:
        """Return its place among requests that cannot be on time; 0 goes first."""
        return _PLACES[self]


# A caller that waited as it was told goes first, since a second refusal costs it more than one.
_PLACES = {AttemptKind.RETURN: 0, AttemptKind.FIRST: 1, AttemptKind.EARLY_RETURN: 2}


def attempt_kind(age_ms: float) -> AttemptKind:
    """Return the kind of an attempt.

    Args:
        age_ms: The time since the caller's first attempt in milliseconds, 0 if this is it.
    """
    if age_ms <= 0.0:
        return AttemptKind.FIRST
    return AttemptKind.RETURN if age_ms >= MIN_RETURN_MS else AttemptKind.EARLY_RETURN
