# logqueue.py -- Writes log lines without blocking
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Writes log lines without blocking."""

from __future__ import annotations

import json
from collections import deque

import gevent
from gevent import os as gevent_os
from gevent.event import Event

from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics

# Further lines are dropped and counted. At 1 KB a line the queue takes at most 4 MB of memory while
# the output is not read.
MAX_LINES = 4_000
# Lines that are joined into one write; a request logs about five.
MAX_BATCH_LINES = 200
# json.dumps with these options builds an encoder for each line.
_ENCODER = json.JSONEncoder(default=str, separators=(",", ":"))


class LogQueue:
    """Queues log messages and writes them as JSON lines from a greenlet.

    Logging never blocks: if the reader of the output is slow the queue fills, further lines are
    dropped, and the next line that is written reports their number.

    Args:
        descriptor: The file descriptor that lines are written to.
        metrics: Counts dropped lines.
    """

    def __init__(self, descriptor: int, metrics: Metrics) -> None:
        self.descriptor = descriptor
        self.metrics = metrics
        self.lines: deque[bytes] = deque()
        self.dropped = 0
        self.ready = Event()
        self.writer: gevent.Greenlet | None = None

    def __call__(self, message: dict[str, object]) -> None:
        """Queue a message; eliot calls this as a destination."""
        if len(self.lines) >= MAX_LINES:
            self.dropped += 1
            self.metrics.count(Metric.DROPPED_LINES)
            return
        self.lines.append(_ENCODER.encode(message).encode() + b"\n")
        self.ready.set()

    def start(self) -> None:
        """Start the greenlet that writes."""
        gevent_os.make_nonblocking(self.descriptor)
        self.writer = gevent.spawn(self.run)

    def run(self) -> None:
        """Write queued lines, for ever."""
        while True:
            self.ready.wait()
            self.ready.clear()
            while self.lines:
                self.write(self.next_batch())

    def next_batch(self) -> bytes:
        """Return the next lines, after one that reports the lines dropped before them."""
        batch = []
        if self.dropped:
            note = {"message_type": "log-lines-dropped", "lines": self.dropped}
            batch.append(json.dumps(note).encode() + b"\n")
            self.dropped = 0
        while self.lines and len(batch) < MAX_BATCH_LINES:
            batch.append(self.lines.popleft())
        return b"".join(batch)

    def write(self, data: bytes) -> None:
        """Write all bytes, waiting while the descriptor is not writable."""
        view = memoryview(data)
        while view:
            written = gevent_os.nb_write(self.descriptor, view)
            view = view[written:]

    def close(self) -> None:
        """Stop, and write the queued lines that the descriptor takes without blocking."""
        if self.writer is not None:
            self.writer.kill()
        try:
            while self.lines:
                gevent_os.nb_write(self.descriptor, self.next_batch())
        except OSError:
            self.lines.clear()
