# stagewithdrawal.py -- A stage that is not wanted any more
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A stage that is not wanted any more."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StageWithdrawal:
    """A stage that is not wanted any more.

    Attributes:
        number: The number of its order.
    """

    number: int
