# currentspeed.py -- Notice that tells how long work takes on a backend server at present
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Notice that tells how long work takes on a backend server at present."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CurrentSpeed:
    """Notice of how long work takes on a backend server at this moment.

    It changes many times a second, so it says nothing about the server's lasting speed.

    Attributes:
        factor: The time of work as a multiple of the usual time.
    """

    factor: float
