"""The dose of a disruption: when it lasts, and how many of the answers it spoils."""

from __future__ import annotations

import threading


class Dose:
    """Draws the answers that a disruption spoils, evenly and never more than a share of them.

    Args:
        share: The share of the answers of faulty servers.

    Attributes:
        is_active: Whether the disruption lasts at present.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self.is_active = False
        self.answers = 0
        self.spoiled = 0
        self.lock = threading.Lock()

    def draw(self) -> bool:
        """Count an answer of a faulty server, and return whether it is spoiled."""
        with self.lock:
            if not self.is_active:
                return False
            self.answers += 1
            is_spoiled = self.spoiled + 1 <= self.share * self.answers
            self.spoiled += is_spoiled
            return is_spoiled
