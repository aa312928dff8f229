# resultusage.py -- Message that hands over a coordinator's account of result memory
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message that hands over a coordinator's account of result memory."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.results.serverusage import ServerUsage


@dataclass(frozen=True, slots=True)
class ResultUsage:
    """Tells a coordinator's standby how much memory results take up at the servers of a service.

    Attributes:
        service: The service.
        entries: The servers whose usage has changed.
    """

    service: str
    entries: tuple[ServerUsage, ...]
