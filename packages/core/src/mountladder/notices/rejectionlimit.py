# rejectionlimit.py -- Notice of how many requests a backend server can reject
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Notice of how many requests a backend server can reject."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RejectionLimit:
    """Notice that a backend server crashes if it has to reject many requests for lack of room.

    Attributes:
        per_s: How many it can reject in a second, from all instances, or UNLIMITED.
    """

    per_s: float
