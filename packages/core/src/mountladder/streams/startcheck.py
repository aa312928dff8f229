# startcheck.py -- A question to a backend server when it started
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A question to a backend server when it started."""

from __future__ import annotations

from gevent.event import Event


class StartCheck:
    """A question to a backend server when it started.

    Args:
        asked_at: When it was asked, in the clock's milliseconds.

    Attributes:
        born: When it started, in milliseconds since 1970, or None if it has not said so.
        ended: Set once it has answered, or failed to.
    """

    def __init__(self, asked_at: float) -> None:
        self.asked_at = asked_at
        self.born: int | None = None
        self.ended = Event()

    def has_failed(self) -> bool:
        """Return whether the server has not answered in time."""
        return self.ended.is_set() and self.born is None
