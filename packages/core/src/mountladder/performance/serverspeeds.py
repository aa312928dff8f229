# serverspeeds.py -- Message that tells another instance how fast backend servers are
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message that tells another instance how fast backend servers are."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.performance.serverspeed import ServerSpeed


@dataclass(frozen=True, slots=True)
class ServerSpeeds:
    """Tells a coordinator's standby, or another coordinator, how fast servers are.

    Attributes:
        service: The service of the servers.
        entries: The servers whose speed has changed.
    """

    service: str
    entries: tuple[ServerSpeed, ...]
