# memorypolicy.py -- Decides what gives way when an instance holds too many bytes for others
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Decides what gives way when an instance holds too many bytes for others.

Load it handles: callers, servers and peers that read slowly, and many large bodies at once.
"""

from __future__ import annotations

from collections.abc import Iterable

from mountladder.admission.attemptkind import MIN_RETURN_MS
from mountladder.memory.heldshare import HeldShare
from mountladder.memory.memoryaccount import SLOW_READER_MS
from mountladder.memory.memorybudget import MemoryBudget

# A reader that has taken nothing for the first of these times makes no progress, in milliseconds;
# for the second, it likely makes none. A lost packet is retransmitted after 200 ms, and a reader
# with a small window is sent more after that time only; on a loaded machine it takes longer.
STALLED_MS = (1_000.0, 250.0)


class MemoryPolicy:
    """Decides whether a request is refused, when its caller may return, and who is cut."""

    def refuses(self, held: int, budget: MemoryBudget) -> bool:
        """Return whether new requests are refused while a number of bytes is held."""
        return held > budget.refuse_above

    def retry_after_ms(self, held: int, budget: MemoryBudget, released_per_ms: float) -> float:
        """Return when new requests are expected to be accepted again, in milliseconds.

        Args:
            held: The number of bytes held.
            budget: The budget.
            released_per_ms: How many bytes were released per millisecond lately.
        """
        excess = held - budget.refuse_above
        if released_per_ms <= 0.0 or excess / released_per_ms > SLOW_READER_MS:
            # By then callers that do not read have been cut.
            return SLOW_READER_MS
        return max(MIN_RETURN_MS, excess / released_per_ms)

    def cuts(
        self, held: int, shares: Iterable[HeldShare], budget: MemoryBudget
    ) -> tuple[HeldShare, ...]:
        """Return whose connections are ended, in order.

        Those that make no progress come first, then those that likely make none, then the others,
        each by the bytes they hold.

        Args:
            held: The number of bytes held, without those that will be released soon.
            shares: What each holder holds.
            budget: The budget.
        """
        if held <= budget.cut_above:
            return ()
        order = sorted(
            shares,
            key=lambda one: (sum(one.stalled_ms < limit for limit in STALLED_MS), -one.bytes),
        )
        chosen = []
        for share in order:
            if held <= budget.cut_to:
                break
            chosen.append(share)
            held -= share.bytes
        return tuple(chosen)
