# promptpart.py -- A part of a prompt that servers can cache
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A part of a prompt that servers can cache."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; different requests can share parts, and servers cache them.

    Attributes:
        id: Identifies the part.
        tokens: Its length, in tokens.
    """

    id: str
    tokens: int
