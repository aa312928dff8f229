# keyholder.py -- The team that holds an API key
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The team that holds an API key."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyHolder:
    """The team that holds an API key.

    Attributes:
        team: The team's name.
        priority: Its rank, which goes before the route's; None where it has none.
    """

    team: str
    priority: int | None = None
