# promptpart.py -- A part of a prompt
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A part of a prompt."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; requests share parts, and servers cache them.

    Attributes:
        id: Names the part.
        tokens: How long it is.
    """

    id: str
    tokens: int
