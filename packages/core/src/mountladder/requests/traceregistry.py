# traceregistry.py -- Traces of the most recent requests
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Traces of the most recent requests."""

from __future__ import annotations

from collections import OrderedDict

from mountladder.requests.trace import Trace

MAX_TRACES = 1_000


class TraceRegistry:
    """Stores the traces of the most recent requests of an instance."""

    def __init__(self, max_traces: int = MAX_TRACES) -> None:
        self.max_traces = max_traces
        self.traces: OrderedDict[str, Trace] = OrderedDict()

    def add(self, trace: Trace) -> None:
        """Add a trace and drop the oldest one above the limit."""
        self.traces[trace.request] = trace
        if len(self.traces) > self.max_traces:
            self.traces.popitem(last=False)

    def find(self, request: str) -> Trace | None:
        """Return the trace of a request, or None if it is unknown."""
        return self.traces.get(request)
