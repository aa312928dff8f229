# submit.py -- A write that a peer is asked to commit
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A write that a peer is asked to commit."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.store.write import Write


@dataclass(frozen=True, slots=True)
class Submit:
    """Asks a peer to commit a write together with others.

    Attributes:
        number: By which the reply is matched.
        write: The write.
        within_ms: How long the peer may try.
    """

    number: int
    write: Write
    within_ms: int
