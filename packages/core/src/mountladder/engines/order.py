# order.py -- Order to a model engine
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Order to a model engine."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Order:
    """The complete desired state of an engine; sending it again changes nothing.

    Attributes:
        fence: The fencing number of the sender's lease term.
        models: The models to serve as pairs of name and version, sorted by name.
    """

    fence: int
    models: tuple[tuple[str, str], ...]
