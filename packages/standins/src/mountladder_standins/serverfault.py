# serverfault.py -- Kinds of faults of in-memory backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Kinds of faults of in-memory backend servers."""

from __future__ import annotations

from enum import Enum


class ServerFault(Enum):
    """Kinds of faults of an in-memory backend server.

    With the first three, the server refuses requests without running them; with the others, it
    runs them first.
    """

    UNREACHABLE = "unreachable"
    FULL = "full"
    REPLACED = "replaced"
    RESET = "reset"
    SILENT = "silent"
    ERROR = "error"
    UNSIGNED = "unsigned"
    CUT = "cut"
    NO_ROOM = "no room"
    SLOW = "slow"
