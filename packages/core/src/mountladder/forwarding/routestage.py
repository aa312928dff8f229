# routestage.py -- Work that is done before a request can run
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Work that is done before a request can run."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RouteStage:
    """Work that is done before a request can run, in pieces.

    Attributes:
        service: The service whose backend servers do it.
        after: The numbers of the stages whose results it needs.
        result_bytes: About how large the result of one piece is.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: float
