# want.py -- Asking a peer for what is newer there
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Asking a peer for what is newer there."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Want:
    """Asking a peer for what is newer there.

    Attributes:
        catalogue: The version of the catalogue that the asking instance has, or -1 for none wanted.
        directory: The version of its list of backend servers, or -1.
        members: Whether it wants to know which instances there are.
    """

    catalogue: int
    directory: int
    members: bool = False
