# logqueue.py -- Log lines written without blocking
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Log lines written without blocking."""

from __future__ import annotations

import json
from collections import deque

import gevent
from gevent import os as gevent_os
from gevent.event import Event

from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics

# At 1 KB a line this is at most 4 MB of memory while nobody reads the output.
MOST_LINES = 4_000
# Beyond so many lines a second, lines are dropped and counted: five for each of 100 requests.
MOST_LINES_A_BATCH = 200


class LogQueue:
    """Takes log messages and writes them as JSON lines from a task of its own.

    Whoever logs never waits: where the reader of the output is slow the queue fills, further lines
    are dropped, and the next line that is written tells how many.

    Args:
        descriptor: Where the lines are written.
        metrics: Where dropped lines are counted.
    """

    def __init__(self, descriptor: int, metrics: Metrics) -> None:
        self.descriptor = descriptor
        self.metrics = metrics
        self.lines: deque[bytes] = deque()
        self.dropped = 0
        self.ready = Event()
        self.writer: gevent.Greenlet | None = None

    def __call__(self, message: dict[str, object]) -> None:
        """Take in one message; this is the destination that eliot calls."""
        if len(self.lines) >= MOST_LINES:
            self.dropped += 1
            self.metrics.count(Metric.DROPPED_LINES)
            return
        self.lines.append(json.dumps(message, default=str, separators=(",", ":")).encode() + b"\n")
        self.ready.set()

    def start(self) -> None:
        """Start writing."""
        gevent_os.make_nonblocking(self.descriptor)
        self.writer = gevent.spawn(self.run)

    def run(self) -> None:
        """Write what comes in, for ever."""
        while True:
            self.ready.wait()
            self.ready.clear()
            while self.lines:
                self.write(self.take())

    def take(self) -> bytes:
        """Return the next lines, and how many were dropped before them."""
        taken = []
        if self.dropped:
            note = {"message_type": "log-lines-dropped", "lines": self.dropped}
            taken.append(json.dumps(note).encode() + b"\n")
            self.dropped = 0
        while self.lines and len(taken) < MOST_LINES_A_BATCH:
            taken.append(self.lines.popleft())
        return b"".join(taken)

    def write(self, data: bytes) -> None:
        """Write all bytes, waiting for the reader where needed."""
        view = memoryview(data)
        while view:
            written = gevent_os.nb_write(self.descriptor, view)
            view = view[written:]

    def close(self) -> None:
        """Write what is left as far as it can be taken at once, and stop."""
        if self.writer is not None:
            self.writer.kill()
        try:
            while self.lines:
                gevent_os.nb_write(self.descriptor, self.take())
        except OSError:
            self.lines.clear()
