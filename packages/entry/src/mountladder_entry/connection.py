# connection.py -- One connection of a caller
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One connection of a caller."""

from __future__ import annotations

from gevent.pywsgi import WSGIHandler

SILENCE_SECONDS = 30.0


class Connection(WSGIHandler):
    """Serves one connection, and drops a caller that neither reads nor writes for long.

    Without this a caller that stops reading a stream would hold its place here and its slot at
    the backend server for ever.

    Attributes:
        silence_seconds: How long a read or a write may take.
    """

    silence_seconds = SILENCE_SECONDS

    def handle(self) -> None:
        """Serve the connection until it ends."""
        self.socket.settimeout(self.silence_seconds)
        super().handle()
