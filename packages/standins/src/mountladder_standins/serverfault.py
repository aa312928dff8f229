# serverfault.py -- What is wrong with a stand-in server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What is wrong with a stand-in server."""

from __future__ import annotations

from enum import Enum


class ServerFault(Enum):
    """What is wrong with a stand-in server.

    The first three refuse without running anything; the others run the request first.
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
