# target.py -- A service that gets a share of a route's requests
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A service that gets a share of a route's requests."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Target:
    """A service that gets a share of a route's requests.

    Attributes:
        service: The name of the service.
        weight: Its share relative to the weights of the route's other targets.
    """

    service: str
    weight: float
