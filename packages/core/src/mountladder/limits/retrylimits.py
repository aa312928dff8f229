# retrylimits.py -- How many retries one instance may make
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How many retries one instance may make."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """How many retries one instance may make for a service within a window.

    Attributes:
        ratio: The number of retries that each request allows.
        window_ms: The length of the window, in milliseconds.
        reserve: This instance's part of the retries that are allowed besides.
    """

    ratio: float
    window_ms: float
    reserve: float
