# ask.py -- A question for newer changes
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A question for newer changes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ask:
    """Asks a peer for the changes after a revision.

    Attributes:
        revision: The revision in force at the sender.
    """

    revision: int
