# originquery.py -- Message that asks which software version began a stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message that asks which software version began a stream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OriginQuery:
    """Message that asks another instance which software version began a stream.

    Attributes:
        number: Identifies the query; the reply carries the same number.
        stream: Identifies the stream; see stream_key.
        service: The service that is to continue with it.
    """

    number: int
    stream: bytes
    service: str
