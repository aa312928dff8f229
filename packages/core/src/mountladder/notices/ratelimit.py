# ratelimit.py -- Notice of the rate limit of a backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Notice of the rate limit of a backend server."""

from __future__ import annotations

import math
from dataclasses import dataclass

# The limit of a server that announces none.
UNLIMITED = math.inf


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Notice of how many requests a second a backend server takes.

    Attributes:
        per_s: The limit over all instances, in requests a second, or UNLIMITED.
    """

    per_s: float
