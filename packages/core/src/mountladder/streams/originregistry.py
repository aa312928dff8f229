# originregistry.py -- The origins of streams that an instance knows
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The origins of streams that an instance knows."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.softwareversion import UNVERIFIED_VERSION
from mountladder.streams.streamorigin import KEY_BYTES, StreamOrigin

# Callers resume a stream within this time; their deadlines are shorter.
MAX_STREAM_MS = 60_000.0
# At some 300 bytes each these take 10 MB.
MAX_ORIGINS = 32_768
# Dropped origins are logged at most this often.
LOG_INTERVAL_MS = 1_000.0
# The times of an origin that is told again differ by the time that messages take.
MIN_EXTENSION_MS = 100.0


class OriginRegistry:
    """Holds which software version began each stream, until its caller gives it up.

    Args:
        clock: The clock.

    Attributes:
        origins: The origins by stream, the oldest first.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.origins: dict[bytes, StreamOrigin] = {}
        self.dropped = 0
        self.logged_at = -LOG_INTERVAL_MS

    def add(self, origin: StreamOrigin) -> bool:
        """Add an origin unless it is malformed or past; return whether it was added.

        The first service that is known to have begun a stream stays. A second version of it makes
        the stream unverified: a request that is relayed again may have begun at two servers, and
        which of them its caller heard is not known. A later attempt at the stream may last longer,
        which replaces the time until which it is held.
        """
        now = self.clock.now()
        if len(origin.stream) != KEY_BYTES or not now < origin.until <= now + MAX_STREAM_MS:
            return False
        known = self.origins.get(origin.stream)
        if known is not None:
            if origin.version == UNVERIFIED_VERSION != known.version:
                self.origins[origin.stream] = origin
                return True
            if (known.service, known.version) != (origin.service, origin.version):
                return self.resolve(known, origin)
            if origin.until <= known.until + MIN_EXTENSION_MS:
                return False
            del self.origins[origin.stream]
        self.origins[origin.stream] = origin
        self.evict(now)
        return True

    def resolve(self, known: StreamOrigin, other: StreamOrigin) -> bool:
        """Keep one of two origins of a stream; return whether that has changed what is known."""
        is_decided = known.service != other.service or known.version == UNVERIFIED_VERSION
        kept = known if is_decided else replace(known, version=UNVERIFIED_VERSION)
        log_message(
            "stream-origin-conflict",
            stream=known.stream.hex(),
            known=known.version,
            other=other.version,
            kept=kept.version,
        )
        self.origins[known.stream] = kept
        return not is_decided

    def find(self, stream: bytes) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is not known."""
        found = self.origins.get(stream)
        return found if found is not None and found.until > self.clock.now() else None

    def of_service(self, service: str) -> list[StreamOrigin]:
        """Return the known origins of the streams of a service."""
        now = self.clock.now()
        found: Iterable[StreamOrigin] = self.origins.values()
        return [one for one in found if one.service == service and one.until > now]

    def evict(self, now: float) -> None:
        """Drop the oldest origins while they are past or too many."""
        while self.origins:
            oldest = next(iter(self.origins.values()))
            if oldest.until > now:
                if len(self.origins) <= MAX_ORIGINS:
                    break
                self.dropped += 1
            del self.origins[oldest.stream]
        if self.dropped and now - self.logged_at >= LOG_INTERVAL_MS:
            log_message("stream-origins-dropped", number=self.dropped, kept=len(self.origins))
            self.dropped, self.logged_at = 0, now
