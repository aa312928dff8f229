# originbatch.py -- Origins of streams that are stored together
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Origins of streams that are stored together."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from mountladder.streams.servedversion import ServedVersion
from mountladder.streams.streamorigin import StreamOrigin


@dataclass(frozen=True, slots=True)
class OriginBatch:
    """Origins of streams that are stored together.

    Attributes:
        name: The name of the batch, which no other one has ever had.
        lifetime_ms: For how long after the writing one of the streams can last, in milliseconds.
        streams: The streams by the version that began them; see stream_key.
    """

    name: str
    lifetime_ms: float
    streams: Mapping[ServedVersion, tuple[bytes, ...]]

    @staticmethod
    def of(name: str, origins: Sequence[StreamOrigin], now: float) -> OriginBatch:
        """Return a batch of origins that is written now."""
        streams: defaultdict[ServedVersion, list[bytes]] = defaultdict(list)
        for one in origins:
            streams[ServedVersion(one.service, one.version)].append(one.stream)
        lifetime_ms = max((one.until - now for one in origins), default=0.0)
        return OriginBatch(name, lifetime_ms, {key: tuple(all_) for key, all_ in streams.items()})

    def origins(self, now: float) -> list[StreamOrigin]:
        """Return the origins; how long before now the batch was written is not known."""
        until = now + self.lifetime_ms
        return [
            StreamOrigin(stream, key.service, key.version, until)
            for key, streams in self.streams.items()
            for stream in streams
        ]
