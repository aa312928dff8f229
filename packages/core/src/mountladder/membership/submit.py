# submit.py -- Message that asks a peer to commit a write
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message that asks a peer to commit a write."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.store.write import Write


@dataclass(frozen=True, slots=True)
class Submit:
    """Asks a peer to commit a write in a group commit.

    Attributes:
        number: Identifies the request in the reply.
        write: The write.
        within_ms: How long the peer may try, in milliseconds.
    """

    number: int
    write: Write
    within_ms: int
