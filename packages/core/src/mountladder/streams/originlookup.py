# originlookup.py -- The result of a search for the origin of a stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The result of a search for the origin of a stream."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.streams.streamorigin import StreamOrigin

# An instance that knows the origin needs no evidence.
KNOWN_SOURCES = frozenset({"own", "peer"})
# The source of an origin that nobody knows, where no other version can have begun the stream.
ONLY_VERSION = "only version"


@dataclass(frozen=True, slots=True)
class OriginLookup:
    """The result of a search for the origin of a stream, and what it is based on.

    Attributes:
        origin: The origin, or None if it is not known.
        source: Where it is known from: "own", "peer", "store", "only version" or "unknown".
        versions: The versions that may have begun it, as known to those that were asked as well.
        evidence: What tells that no other version can have begun it: "replies" of all instances or
            the "store"; or "several" if more than one is known, or "".
        may_be_found: Whether an unknown origin may be found later, since not all that may know it
            have replied.
        asked: The number of instances that were asked.
        replied: The number of those that replied.
        known: The number of other instances that are known.
    """

    origin: StreamOrigin | None
    source: str
    versions: frozenset[str]
    may_be_found: bool = False
    asked: int = 0
    replied: int = 0
    known: int = 0
    evidence: str = ""

    @property
    def is_complete(self) -> bool:
        """Return whether no other version can have begun the stream, or several are known."""
        return self.source in KNOWN_SOURCES or bool(self.evidence)
