# stageorder.py -- A stage that one instance leaves to another
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A stage that one instance leaves to another."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.stagejob import StageJob


@dataclass(frozen=True, slots=True)
class StageOrder:
    """A stage that one instance leaves to the one where the service's pieces meet.

    Attributes:
        number: Its number, by which the outcome is matched.
        job: The pieces; their times are relative to the moment of sending.
        lent: Whether another data centre's place sends it, so that it stays where it comes.
    """

    number: int
    job: StageJob
    lent: bool = False
