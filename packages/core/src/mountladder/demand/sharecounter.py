# sharecounter.py -- Counts the pieces that a plan assigns to other data centres
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Counts the pieces that a plan assigns to other data centres."""

from __future__ import annotations

from collections.abc import Collection, Mapping


class ShareCounter:
    """Selects the stages to send to other data centres, so that a plan's shares are met.

    Shares are met by counting rather than at random: by chance, ten stages in a row could go to the
    same data centre.

    Attributes:
        owed: The number of pieces that each data centre should have been sent and was not;
            negative if it was sent more.
    """

    def __init__(self) -> None:
        self.owed: dict[str, float] = {}

    def add(self, shares: Mapping[str, float], pieces: int, recent_pieces: float) -> None:
        """Count the pieces of a stage, whether or not it may be sent elsewhere.

        Args:
            shares: The share of each data centre; those without one are owed nothing.
            pieces: The number of pieces.
            recent_pieces: The number of pieces that arrive between two plans. A data centre is owed
                at most its share of them, or else many stages in a row would be sent there after a
                time in which none could be.
        """
        owed: dict[str, float] = {}
        for name, share in shares.items():
            before = self.owed.get(name, 0.0)
            limit = max(pieces, share * recent_pieces, before)
            owed[name] = min(before + share * pieces, limit)
        self.owed = owed

    def choose(self, pieces: int, allowed: Collection[str]) -> str:
        """Return the data centre to send a stage to; empty if none is owed half of it.

        Args:
            pieces: The number of pieces of the stage.
            allowed: The data centres that it may be sent to.
        """
        owed = {name: one for name, one in self.owed.items() if name in allowed}
        best = max(owed, key=owed.__getitem__, default="")
        return best if best and owed[best] >= pieces / 2 else ""

    def record_sent(self, datacentre: str, pieces: int) -> None:
        """Count a stage that was sent to a data centre, by the plan or for another reason."""
        if datacentre in self.owed:
            # What was lent on current backlogs replaces at most one stage of the plan.
            self.owed[datacentre] = max(self.owed[datacentre] - pieces, -float(pieces))
