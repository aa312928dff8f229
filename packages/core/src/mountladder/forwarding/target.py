# target.py -- A service that a route sends a share of its requests to
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A service that a route sends a share of its requests to."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Target:
    """A service that a route sends a share of its requests to.

    Attributes:
        service: The name of the service.
        weight: Its share relative to the weights of the route's other targets.
    """

    service: str
    weight: float
