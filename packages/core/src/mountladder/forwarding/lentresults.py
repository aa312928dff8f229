# lentresults.py -- Where results were made that another data centre made for this one
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Where results were made that another data centre made for this one."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

# So many results are remembered, some seconds of a busy place's; one that is forgotten is given up
# from here, and takes room in the other place's account until it lapses.
MOST_KEPT = 4_096
HERE = ""


class LentResults:
    """Remembers at which other place results were made, which is told when they are given up.

    Attributes:
        made_at: The address of that place, by the result's handle.
    """

    def __init__(self) -> None:
        self.made_at: OrderedDict[str, str] = OrderedDict()

    def remember(self, handles: Sequence[str], address: str) -> None:
        """Remember that results were made at another place."""
        for handle in handles:
            self.made_at[handle] = address
        while len(self.made_at) > MOST_KEPT:
            self.made_at.popitem(last=False)

    def sort_out(self, handles: Sequence[str]) -> dict[str, list[str]]:
        """Forget results, and return their handles by the place that made them, or HERE."""
        places: dict[str, list[str]] = {}
        for handle in handles:
            places.setdefault(self.made_at.pop(handle, HERE), []).append(handle)
        return places
