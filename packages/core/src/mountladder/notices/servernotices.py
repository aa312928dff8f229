# servernotices.py -- Telling what backend servers said
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Telling what backend servers said."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.notices.servernotice import ServerNotice


@dataclass(frozen=True, slots=True)
class ServerNotices:
    """Telling what backend servers said of themselves.

    Attributes:
        entries: What they said, with times before now, so below zero.
    """

    entries: tuple[ServerNotice, ...]
