# prompttransfer.py -- What moving kept parts of prompts between model servers takes
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What moving kept parts of prompts between model servers takes."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.linktime import link_ms

# Setting a transfer up takes a few milliseconds at the engines in use; with less than a step it
# is of no weight against reading.
SET_UP_MS = 3.0
# Between data centres a transfer takes twice as long.
FAR_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class PromptTransfer:
    """What moving kept parts of prompts between model servers takes.

    Attributes:
        token_bytes: The memory of one token, in bytes.
        link_mbps: The bandwidth of a server's link, in Mbit/s.
    """

    token_bytes: float
    link_mbps: float

    def expected_ms(self, tokens: int, far: bool) -> float:
        """Return how long moving some tokens takes, in milliseconds."""
        moving_ms = link_ms(tokens * self.token_bytes, self.link_mbps)
        return SET_UP_MS + moving_ms * (FAR_FACTOR if far else 1.0)
