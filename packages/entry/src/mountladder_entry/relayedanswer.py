# relayedanswer.py -- The answer of another instance to a relayed request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The answer of another instance to a relayed request."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """The answer of another instance to a relayed request.

    Attributes:
        status: Its HTTP status.
        headers: Its headers.
        body: The parts of its body as they arrive.
    """

    status: int
    headers: Mapping[str, str]
    body: Iterator[bytes]
