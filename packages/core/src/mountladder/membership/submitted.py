# submitted.py -- Message with the outcome of a write that a peer was asked to commit
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message with the outcome of a write that a peer was asked to commit."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Submitted:
    """Message with the outcome of a write that a peer was asked to commit.

    Attributes:
        number: The number of the Submit it replies to.
        version: The new version of the row, if it was written.
        code: The number of the error code (Code), or 0 on success.
    """

    number: int
    version: int
    code: int
