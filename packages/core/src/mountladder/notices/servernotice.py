# servernotice.py -- A notice of a backend server, with when it held
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A notice of a backend server, with when it held."""

from __future__ import annotations

from dataclasses import dataclass, replace

from mountladder.notices.notice import Shared

# The way of a message between two instances takes less than this, or it is lost with its link.
WAY_MS = 100.0


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What an answer says of its server, for all instances.

    Answers overtake each other, so that each tells of some moment between two times.

    Attributes:
        server: The name of the server, which each of its starts has for itself.
        notice: What the answer says.
        sent_at: When the request was sent that is answered, in the clock's milliseconds.
        seen_at: When the answer was there, in the same.
        slack_ms: By how much the times may be too late, since the way to here took time.
    """

    server: str
    notice: Shared
    sent_at: float
    seen_at: float
    slack_ms: float = 0.0

    def is_newer(self, known: ServerNotice) -> bool:
        """Tell whether this is surely newer than what is known."""
        return self.sent_at - self.slack_ms >= known.seen_at

    def as_ages(self, now: float) -> ServerNotice:
        """Return the same with times before now, so below zero, as it is told."""
        return replace(self, sent_at=self.sent_at - now, seen_at=self.seen_at - now)

    def told(self, now: float) -> ServerNotice:
        """Return what was told with ages by the clock here."""
        sent_at, seen_at = self.sent_at + now, self.seen_at + now
        return replace(self, sent_at=sent_at, seen_at=seen_at, slack_ms=self.slack_ms + WAY_MS)
