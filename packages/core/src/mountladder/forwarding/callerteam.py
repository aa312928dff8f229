# callerteam.py -- The team that an API key belongs to
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The team that an API key belongs to."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerTeam:
    """The team that an API key belongs to.

    Attributes:
        team: The team's name.
        priority: Its priority, which overrides the route's, or None to use the route's.
    """

    team: str
    priority: int | None = None
