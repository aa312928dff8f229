# prompttransfer.py -- Cost of transferring cached prompt parts between model servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Cost of transferring cached prompt parts between model servers."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.linktime import link_ms

# Setting up a transfer takes a few milliseconds in current engines, less than one batch step and
# negligible compared with prefill.
SET_UP_MS = 3.0
# Between data centres a transfer takes twice as long.
REMOTE_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class PromptTransfer:
    """Cost of transferring cached prompt parts between model servers.

    Attributes:
        token_bytes: The cache size of one token, in bytes.
        link_mbps: The bandwidth of a server's link, in Mbit/s.
    """

    token_bytes: float
    link_mbps: float

    def expected_ms(self, tokens: int, is_remote: bool) -> float:
        """Return the expected time to transfer tokens, in milliseconds.

        Args:
            tokens: The number of tokens.
            is_remote: Whether the servers are in different data centres.
        """
        transfer_ms = link_ms(tokens * self.token_bytes, self.link_mbps)
        return SET_UP_MS + transfer_ms * (REMOTE_FACTOR if is_remote else 1.0)
