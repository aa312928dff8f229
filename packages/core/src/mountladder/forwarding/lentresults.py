# lentresults.py -- Remembers which results were made in another data centre
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Remembers which results were made in another data centre."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

# Maximum number of results remembered, several seconds' worth at a busy coordinator. A forgotten
# result is released at its server from here, but the coordinator that had it made counts its memory
# as used until it expires.
MAX_RESULTS = 4_096
LOCAL = ""


class LentResults:
    """Maps results to the coordinator in another data centre that had them made.

    That coordinator accounts for their memory, so their release is sent to it.

    Attributes:
        origins: The coordinator's address by the handle of the result.
    """

    def __init__(self) -> None:
        self.origins: OrderedDict[str, str] = OrderedDict()

    def remember(self, handles: Sequence[str], address: str) -> None:
        """Record that results were made under another coordinator."""
        for handle in handles:
            self.origins[handle] = address
        while len(self.origins) > MAX_RESULTS:
            self.origins.popitem(last=False)

    def pop_by_origin(self, handles: Sequence[str]) -> dict[str, list[str]]:
        """Remove results and return their handles by their coordinator's address, or LOCAL."""
        by_origin: dict[str, list[str]] = {}
        for handle in handles:
            by_origin.setdefault(self.origins.pop(handle, LOCAL), []).append(handle)
        return by_origin
