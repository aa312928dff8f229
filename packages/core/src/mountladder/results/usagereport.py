# usagereport.py -- Chooses which changes of the memory in use are reported to the standby
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Chooses which changes of the memory in use are reported to the standby."""

from __future__ import annotations

from collections.abc import Iterable

from mountladder.results.lapsingbytes import LapsingBytes
from mountladder.results.serverusage import ServerUsage

# Changes of the memory in use are reported once they exceed this fraction of a server's memory:
# the memory of a few results, by which the accounting is uncertain anyway.
MIN_CHANGE_FRACTION = 0.1


class UsageReport:
    """What a coordinator has told the standby of a service, and what that assumes by now.

    Load: planned restarts of most instances in turn, and coordinators that die.

    Attributes:
        receiver: The standby's address.
        sent: The usage that was sent last, by the server's name.
    """

    def __init__(self) -> None:
        self.receiver = ""
        self.sent: dict[str, LapsingBytes] = {}

    def changes(
        self, usages: Iterable[ServerUsage], receiver: str, capacity: float, now: float
    ) -> tuple[ServerUsage, ...]:
        """Return the usages to send to a standby, and record them as sent.

        Args:
            usages: The memory in use at each server.
            receiver: The standby's address. Nothing has been sent to a new one.
            capacity: The memory of each server in bytes.
            now: The clock's time.
        """
        if receiver != self.receiver:
            self.receiver, self.sent = receiver, {}
        self.sent = {name: one for name, one in self.sent.items() if one.until > now}
        changed = [one for one in usages if self.has_changed(one, capacity, now)]
        for one in changed:
            self.sent[one.server] = LapsingBytes(one.used_bytes, now, now + one.lapse_ms)
        return tuple(changed)

    def has_changed(self, usage: ServerUsage, capacity: float, now: float) -> bool:
        """Return whether the standby's assumption about a server is too far from its usage."""
        assumed = self.sent.get(usage.server)
        assumed_bytes = assumed.used(now) if assumed is not None else 0.0
        return abs(usage.used_bytes - assumed_bytes) > MIN_CHANGE_FRACTION * capacity
