# instance.py -- An entry instance as others see it
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An entry instance as others see it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Instance:
    """An entry instance.

    Attributes:
        name: Its name on the platform's list.
        incarnation: Changes with every start of its process; empty where it is not known.
        datacentre: The data centre it stands in.
        web: The IP number and port of its HTTP interface.
        peer: The IP number and port its peers connect to.
        leaving: Whether it is about to end.
        cores: How many processor cores it may use; shared work goes to those with many.
        since: The time of day at its start, in milliseconds; shared work stays with the older ones.
    """

    name: str
    incarnation: str
    datacentre: str
    web: str
    peer: str
    leaving: bool = False
    cores: float = 1.0
    since: int = 0
