# limitword.py -- What an answer says of a backend server's limit
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What an answer says of a backend server's limit."""

from __future__ import annotations

import math
from dataclasses import dataclass

# Stands for the limit of a server whose answer names none.
UNLIMITED = math.inf


@dataclass(frozen=True, slots=True)
class LimitWord:
    """What an answer says of how many requests a second its server takes from all instances.

    Answers overtake each other, so that each tells of some moment between two times.

    Attributes:
        server: The name of the server, which each of its starts has for itself.
        per_s: How many requests a second it takes, or UNLIMITED.
        sent_at: When the request was sent that is answered, in the clock's milliseconds.
        seen_at: When the answer was there, in the same.
    """

    server: str
    per_s: float
    sent_at: float
    seen_at: float

    def replaces(self, known: LimitWord) -> bool:
        """Tell whether this is to hold in place of what is known.

        What is surely newer does. Where that is open the lower limit holds: the next answer tells,
        and a server in need is spared until then.
        """
        if self.sent_at >= known.seen_at:
            return True
        return self.per_s < known.per_s and self.seen_at > known.sent_at
