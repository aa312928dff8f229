# relayed.py -- What another instance answered
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What another instance answered."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Relayed:
    """The answer of another instance.

    Attributes:
        status: Its HTTP status.
        headers: Its headers.
        body: Its body, as it comes.
    """

    status: int
    headers: Mapping[str, str]
    body: Iterator[bytes]
