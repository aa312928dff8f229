# streambeginning.py -- Which server began a stream, and when
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which server began a stream, and when."""

from __future__ import annotations

from mountladder.configuration.backendserver import BackendServer


class StreamBeginning:
    """Which server began a stream, and when.

    Args:
        stream: Identifies the stream; see stream_key.
        server: The server.
        listed_start: The start that its entry named then, in ms since 1970, or 0 if it named none.
        at: When its first event came, in the clock's milliseconds.

    Attributes:
        is_as_listed: Whether the server had not started again by then, or None if that is not
            checked yet.
    """

    def __init__(self, stream: bytes, server: BackendServer, listed_start: int, at: float) -> None:
        self.stream = stream
        self.server = server
        self.listed_start = listed_start
        self.at = at
        self.is_as_listed: bool | None = None if listed_start else True
