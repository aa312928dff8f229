# bytelimit.py -- The limit on the bytes of requests at one server of a service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The limit on the bytes of requests at one server of a service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ByteLimit:
    """The limit on the bytes of requests at one server of a service, learnt from a crash.

    Attributes:
        service: The name of the service.
        server: The name of the server that crashed.
        held: The bytes that it held.
        safe: The most that a server of the service had held without a crash.
        limit: The most that is sent to one server from now on, in bytes.
    """

    service: str
    server: str
    held: int
    safe: int
    limit: float
