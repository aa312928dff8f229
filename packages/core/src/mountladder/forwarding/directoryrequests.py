# directoryrequests.py -- Limits how many peers send a new instance the whole list of servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Limits how many peers send a new instance the whole list of servers."""

from __future__ import annotations

# How long a peer may take to send the whole list, in milliseconds, before another one is asked: at
# the design size it has some 300 KB, which a link of 5 Mbit/s carries in half a second.
WHOLE_LIST_MS = 600.0


class DirectoryRequests:
    """Decides whether a peer that announces a newer list of servers is asked for it.

    Handles the start of a large fleet: each new instance hears of the list from dozens of peers at
    once. Asked all, these send hundreds of kilobytes each, and the instances that know the list
    first send it hundreds of times.

    Attributes:
        asked_at: When a peer was last asked for the whole list, or sent a part of it, in the
            clock's milliseconds.
    """

    def __init__(self) -> None:
        self.asked_at = float("-inf")

    def begin(self, has_list: bool, now: float) -> bool:
        """Return whether to ask a peer now, and record that it is asked.

        Changes are requested from every peer that announces some: they are small, and a peer that
        does not answer must not delay them.

        Args:
            has_list: Whether this instance has a whole list already.
            now: The clock's time.
        """
        if has_list:
            return True
        if now - self.asked_at < WHOLE_LIST_MS:
            return False
        self.asked_at = now
        return True

    def record_part(self, now: float) -> None:
        """Record that a part of the list has arrived, so that the rest is on its way."""
        self.asked_at = max(self.asked_at, now)
