# rest.py -- That a backend server wants no requests for some time
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""That a backend server wants no requests for some time."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Rest:
    """That a backend server wants no requests from the instance it answers, for some time.

    Attributes:
        for_ms: For how long, from its answer on, in milliseconds.
    """

    for_ms: float
