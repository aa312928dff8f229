# tracebook.py -- The latest requests and what happened to them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The latest requests and what happened to them."""

from __future__ import annotations

from collections import OrderedDict

from mountladder.requests.trace import Trace

KEPT = 1_000


class TraceBook:
    """Keeps the traces of the latest requests of an instance."""

    def __init__(self, kept: int = KEPT) -> None:
        self.kept = kept
        self.traces: OrderedDict[str, Trace] = OrderedDict()

    def add(self, trace: Trace) -> None:
        """Keep a trace, dropping the oldest one where there are too many."""
        self.traces[trace.request] = trace
        if len(self.traces) > self.kept:
            self.traces.popitem(last=False)

    def find(self, request: str) -> Trace | None:
        """Return the trace of a request."""
        return self.traces.get(request)
