# suspicions.py -- What an instance tells of requests under which servers ended
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What an instance tells of requests under which servers ended."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.quarantine.suspicion import Suspicion


@dataclass(frozen=True, slots=True)
class Suspicions:
    """What an instance tells of requests under which servers ended.

    Attributes:
        entries: One for each request; their times are relative to the moment of sending.
    """

    entries: tuple[Suspicion, ...]
