# servernotice.py -- Shared notice of a backend server with its times
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Shared notice of a backend server with its times."""

from __future__ import annotations

from dataclasses import dataclass, replace

from mountladder.notices.notice import Shared

# A message between two instances arrives within this time, or it is lost with its link.
MAX_TRANSIT_MS = 100.0


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """A shared notice with the time range in which the server gave it.

    Answers may arrive out of order, and a notice was true at some time between the sending of the
    request and the arrival of the answer.

    Attributes:
        server: The name of the server; each incarnation of a server has its own name.
        notice: The notice.
        sent_at: When the answered request was sent, in the clock's milliseconds.
        seen_at: When the answer arrived, in the clock's milliseconds.
        slack_ms: By how much the times may be too late, due to transit between instances.
    """

    server: str
    notice: Shared
    sent_at: float
    seen_at: float
    slack_ms: float = 0.0

    def is_newer(self, known: ServerNotice) -> bool:
        """Return whether this is certainly newer than the notice in force."""
        return self.sent_at - self.slack_ms >= known.seen_at

    def as_ages(self, now: float) -> ServerNotice:
        """Return the same with times relative to now, so negative, for sending to a peer."""
        return replace(self, sent_at=self.sent_at - now, seen_at=self.seen_at - now)

    def from_ages(self, now: float) -> ServerNotice:
        """Return a received notice with its relative times converted to this instance's clock."""
        sent_at, seen_at = self.sent_at + now, self.seen_at + now
        return replace(
            self, sent_at=sent_at, seen_at=seen_at, slack_ms=self.slack_ms + MAX_TRANSIT_MS
        )
