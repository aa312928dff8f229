# order.py -- An order to a model engine
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An order to a model engine."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Order:
    """The whole state that an engine is to reach; sending it again changes nothing.

    Attributes:
        fence: The number of the term of whoever sends it.
        models: The models to serve, each with its version, by name.
    """

    fence: int
    models: tuple[tuple[str, str], ...]
