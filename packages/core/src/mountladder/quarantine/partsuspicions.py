# partsuspicions.py -- Message that carries suspicions of prompt parts to another instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message that carries suspicions of prompt parts to another instance."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.quarantine.suspicion import Suspicion


@dataclass(frozen=True, slots=True)
class PartSuspicions:
    """A message with suspicions of prompt parts for another instance.

    Attributes:
        entries: One for each part, with times in milliseconds relative to the moment of sending.
    """

    entries: tuple[Suspicion, ...]
