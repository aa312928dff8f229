# applied.py -- The outcome of a change
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The outcome of a change."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.errors import MountladderError


@dataclass(frozen=True, slots=True)
class Applied:
    """The outcome of a change that was accepted, or of one that changes nothing.

    Attributes:
        revision: The revision now in force.
        changed: The keys of the documents it changed.
        warnings: What an operator should know about the new configuration.
    """

    revision: int
    changed: tuple[str, ...]
    warnings: tuple[MountladderError, ...]
