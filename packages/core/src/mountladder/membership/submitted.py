# submitted.py -- The outcome of a write that a peer committed
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The outcome of a write that a peer committed."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Submitted:
    """The outcome of a write.

    Attributes:
        number: The number of the Submit it replies to.
        version: The new version of the row where it was written.
        code: The number of the code it failed with, or 0.
    """

    number: int
    version: int
    code: int
