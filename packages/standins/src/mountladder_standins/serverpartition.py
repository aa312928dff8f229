# serverpartition.py -- Ways in which an instance is partitioned from all backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Ways in which an instance is partitioned from all backend servers."""

from __future__ import annotations

from enum import Enum


class ServerPartition(Enum):
    """What becomes of the connections between an instance and all backend servers.

    Attributes:
        HANG: Nothing arrives any more, over open connections or new ones.
        RESET: Open connections are reset, and new ones are refused.
        REFUSE: Open connections go on working, and new ones are refused.
    """

    HANG = "hang"
    RESET = "are reset"
    REFUSE = "live on while new ones are refused"
