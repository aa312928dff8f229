# ratelimit.py -- How many requests a second a backend server takes
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How many requests a second a backend server takes."""

from __future__ import annotations

import math
from dataclasses import dataclass

# Stands for the limit of a server whose answer names none.
UNLIMITED = math.inf


@dataclass(frozen=True, slots=True)
class RateLimit:
    """How many requests a second a backend server takes.

    Attributes:
        per_s: How many it takes from all instances together, or UNLIMITED.
    """

    per_s: float
