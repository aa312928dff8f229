# releasedhandles.py -- Remembers which results were released, so that none is released twice
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Remembers which results were released, so that none is released twice."""

from __future__ import annotations

from collections import OrderedDict

# Maximum number of handles remembered: those of about six seconds at a busy coordinator, which is
# longer than servers keep results. A second release of a forgotten one costs one needless call.
MAX_HANDLES = 4_096


class ReleasedHandles:
    """The handles of the results that were released last.

    Attributes:
        handles: The handles, the oldest first.
    """

    def __init__(self) -> None:
        self.handles: OrderedDict[str, None] = OrderedDict()

    def add(self, handle: str) -> bool:
        """Record the release of a result; return False if it was recorded before."""
        if handle in self.handles:
            return False
        self.handles[handle] = None
        if len(self.handles) > MAX_HANDLES:
            self.handles.popitem(last=False)
        return True

    def forget(self, handle: str) -> None:
        """Forget a handle, since a restarted server may have given it to a new result."""
        self.handles.pop(handle, None)
