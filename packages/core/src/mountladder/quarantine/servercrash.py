# servercrash.py -- The crash of a server that had a request in flight
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The crash of a server that had a request in flight."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerCrash:
    """The crash of a server that had a request in flight.

    Attributes:
        server: The name of the crashed incarnation of the server; no other incarnation shares it.
        ran_ms: How long the server had had the request.
        at: When it crashed, in the clock's milliseconds.
        alone: Whether the request was the only one of its call.
        late: Whether the server had been answering the request for some time.
        request: The first digits of the request's fingerprint; empty where the suspect is a
            request itself.
    """

    server: str
    ran_ms: float
    at: float
    alone: bool = True
    late: bool = False
    request: str = ""
