# limitword.py -- What an answer says of a backend server's limit
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What an answer says of a backend server's limit."""

from __future__ import annotations

from dataclasses import dataclass, replace

from mountladder.notices.ratelimit import UNLIMITED

# The way of a message between two instances takes less than this, or it is lost with its link.
WAY_MS = 100.0


@dataclass(frozen=True, slots=True)
class LimitWord:
    """What an answer says of how many requests a second its server takes from all instances.

    Answers overtake each other, so that each tells of some moment between two times.

    Attributes:
        server: The name of the server, which each of its starts has for itself.
        per_s: How many requests a second it takes, or UNLIMITED.
        sent_at: When the request was sent that is answered, in the clock's milliseconds.
        seen_at: When the answer was there, in the same.
        slack_ms: By how much the times may be too late, since the way to here took time.
    """

    server: str
    per_s: float
    sent_at: float
    seen_at: float
    slack_ms: float = 0.0

    @property
    def limits(self) -> bool:
        """Tell whether the server takes only so many."""
        return self.per_s < UNLIMITED

    def replaces(self, known: LimitWord) -> bool:
        """Tell whether this is to hold in place of what is known.

        What is surely newer does. Where that is open the lower limit holds: the next answer tells,
        and a server in need is spared until then.
        """
        if self.sent_at - self.slack_ms >= known.seen_at:
            return True
        return self.per_s < known.per_s and self.seen_at > known.sent_at

    def as_ages(self, now: float) -> LimitWord:
        """Return the same with times before now, so below zero, as it is told."""
        return replace(self, sent_at=self.sent_at - now, seen_at=self.seen_at - now)

    def told(self, now: float) -> LimitWord:
        """Return what was told with ages by the clock here."""
        sent_at, seen_at = self.sent_at + now, self.seen_at + now
        return replace(self, sent_at=sent_at, seen_at=seen_at, slack_ms=self.slack_ms + WAY_MS)
