# serverpace.py -- What is known of the speed of one backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What is known of the speed of one backend server."""

from __future__ import annotations

from mountladder.performance.learntlevel import LearntLevel


class ServerPace:
    """The lasting factor of one backend server, and its spell if it has one.

    Attributes:
        server: The server's name.
        service: Its service.
        learnt: The running median behind the factor.
        factor: The lasting factor: its time per unit of work as a multiple of the usual one.
        spell: How much slower than its lasting factor it was seen to be last.
        spell_until: Until when it is assumed to be that slow, in the clock's milliseconds.
        logged_factor: The factor in the last log line about it.
        logged_at: When that line was written.
        spell_logged_at: When a spell of it was last logged.
    """

    __slots__ = (
        "factor",
        "learnt",
        "logged_at",
        "logged_factor",
        "server",
        "service",
        "spell",
        "spell_logged_at",
        "spell_until",
    )

    def __init__(self, server: str = "", service: str = "") -> None:
        self.server = server
        self.service = service
        self.reset()

    def reset(self) -> None:
        """Forget what is known of the server, of which some state may keep this object."""
        self.learnt = LearntLevel()
        self.factor = 1.0
        self.spell = 1.0
        self.spell_until = float("-inf")
        self.logged_factor = 1.0
        self.logged_at = self.spell_logged_at = float("-inf")

    def spell_at(self, now: float) -> float:
        """Return how much slower than its lasting factor the server is assumed to be, 1 if not."""
        return self.spell if now < self.spell_until else 1.0

    def expected_factor(self, now: float) -> float:
        """Return the expected time of work sent there now, as a multiple of the usual one."""
        return self.factor * self.spell_at(now)

    def begin_spell(self, ratio: float, now: float, for_ms: float) -> bool:
        """Assume a spell, or prolong it; return whether there was none before."""
        is_new = now >= self.spell_until
        self.spell = ratio if is_new else max(ratio, self.spell)
        self.spell_until = max(self.spell_until, now + for_ms)
        return is_new


# For servers whose speed is not learnt. Nothing writes to it.
UNKNOWN_PACE = ServerPace()
