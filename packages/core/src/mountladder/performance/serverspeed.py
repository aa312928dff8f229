# serverspeed.py -- How fast one backend server is, compared with others of its service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How fast one backend server is, compared with others of its service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerSpeed:
    """How fast one backend server is, compared with the others of its service.

    Attributes:
        server: The server's name, which is new at each start of the server.
        factor: Its time per unit of work divided by the service's median; 2.0 is half as fast.
        samples: The number of measurements behind the factor.
        age_ms: The time since the last measurement, in milliseconds.
    """

    server: str
    factor: float
    samples: int
    age_ms: float
