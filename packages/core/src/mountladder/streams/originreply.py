# originreply.py -- Message that tells which software version began a stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message that tells which software version began a stream."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.streams.streamorigin import StreamOrigin


@dataclass(frozen=True, slots=True)
class OriginReply:
    """Reply to an OriginQuery.

    Attributes:
        number: The number of the query.
        origin: The origin of the stream with a time relative to the sending, or None if the
            replying instance does not know it.
        versions: The versions that have lately served the service, as the replying instance knows.
        is_complete: Whether those are all that may have begun a stream that still lasts. Instances
            of an older build do not tell it.
    """

    number: int
    origin: StreamOrigin | None
    versions: frozenset[str]
    is_complete: bool = False
