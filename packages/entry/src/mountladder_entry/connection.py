# connection.py -- A caller's connection with a timeout
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A caller's connection with a timeout."""

from __future__ import annotations

from gevent.pywsgi import WSGIHandler

IO_TIMEOUT_SECONDS = 30.0


class Connection(WSGIHandler):
    """Serves one connection, and drops a caller that neither reads nor writes for long.

    Without the timeout a caller that stops reading a stream would occupy a connection here and a
    slot of the backend server for ever.

    Attributes:
        timeout_seconds: The timeout of a read or a write.
    """

    timeout_seconds = IO_TIMEOUT_SECONDS

    def handle(self) -> None:
        """Serve the connection until it ends."""
        self.socket.settimeout(self.timeout_seconds)
        super().handle()
