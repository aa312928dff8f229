# streamorigin.py -- Which software version began a stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which software version began a stream."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace

from mountladder.forwarding.forwardrequest import ForwardRequest

KEY_BYTES = 16


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Which service began a stream, and the version of its software.

    Attributes:
        stream: Identifies the stream; see stream_key.
        service: The name of the service.
        version: The version of the software, or an empty string if it is unknown.
        until: When the caller gives up the stream, in the clock's milliseconds; in messages, how
            many milliseconds after they were sent.
    """

    stream: bytes
    service: str
    version: str
    until: float

    def as_remaining(self, now: float) -> StreamOrigin:
        """Return the same with the time relative to now, for sending to a peer."""
        return replace(self, until=self.until - now)

    def from_remaining(self, now: float) -> StreamOrigin:
        """Return a received one with its time on this instance's clock."""
        return replace(self, until=self.until + now)


def stream_of(request: ForwardRequest, fingerprint: str) -> bytes:
    """Return what identifies the stream that a request begins, or resumes; see stream_key."""
    is_resumed = bool(request.last_event_id and request.resumes)
    return stream_key(fingerprint, request.resumes if is_resumed else request.id)


def stream_key(fingerprint: str, request: str) -> bytes:
    """Return what identifies a stream at all instances.

    The fingerprint covers the team, the path and the body, so that a request which names another
    caller's stream, or one of another route, does not find it.

    Args:
        fingerprint: The fingerprint that all attempts at the request share.
        request: The id of the request that brought the first event.
    """
    text = f"{fingerprint}/{request}".encode(errors="surrogateescape")
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()
