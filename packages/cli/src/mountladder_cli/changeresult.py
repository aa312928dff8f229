# changeresult.py -- The result of applying a change to the configuration
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The result of applying a change to the configuration."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.errors import MountladderError


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """The result of a change that was accepted or that changed nothing.

    Attributes:
        revision: The revision now in force.
        changed: The keys of the documents that it added, replaced or removed.
        warnings: Problems of the new configuration that do not make it invalid.
    """

    revision: int
    changed: tuple[str, ...]
    warnings: tuple[MountladderError, ...]
