# servedversion.py -- A software version that has served a service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A software version that has served a service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class ServedVersion:
    """A software version that has served a service.

    Attributes:
        service: The name of the service.
        version: The version of the software, or an empty string if it is unknown.
    """

    service: str
    version: str
