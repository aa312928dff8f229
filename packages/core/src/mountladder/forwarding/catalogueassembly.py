# catalogueassembly.py -- Splits a compressed catalogue into messages and reassembles it
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Splits a compressed catalogue into messages and reassembles it."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterator
from functools import lru_cache

from mountladder.code import Code
from mountladder.errors import PeerError
from mountladder.forwarding.catalogueslice import CatalogueSlice

# A part takes 13 ms on the slowest supported link, 5 Mbit/s. Heartbeats and stages of requests
# that queue behind a part wait no longer than that.
SLICE_BYTES = 8_192
# The largest accepted catalogue, compressed or decompressed: 3,600 teams with 10,000 routes take
# about 2 MB.
MAX_CATALOGUE_BYTES = 8 << 20
DIGEST_BYTES = 16


class CatalogueAssembly:
    """Reassembles a catalogue from the parts that arrive over one link.

    A link preserves the order of messages. Parts of different versions are never combined: a part
    at offset 0 starts a new catalogue, and any other part that does not continue the current one is
    ignored.

    Attributes:
        parts: The parts received so far.
        received_bytes: Their total size in bytes.
    """

    def __init__(self) -> None:
        self.parts: list[CatalogueSlice] = []
        self.received_bytes = 0

    def add(self, part: CatalogueSlice) -> bytes | None:
        """Add a part; return the decompressed catalogue once it is complete, else None.

        Raises:
            PeerError: The catalogue is too large, or its digest does not match.
        """
        if part.size > MAX_CATALOGUE_BYTES:
            raise PeerError(
                f"a catalogue of {part.size} bytes exceeds {MAX_CATALOGUE_BYTES}", Code.BAD_MESSAGE
            )
        if part.offset == 0:
            self.parts, self.received_bytes = [], 0
        elif not self.continues(part):
            return None
        self.parts.append(part)
        self.received_bytes += len(part.data)
        if self.received_bytes < part.size:
            return None
        compressed = b"".join(one.data for one in self.parts)
        self.parts, self.received_bytes = [], 0
        if len(compressed) != part.size or _digest(compressed) != part.digest:
            raise PeerError(
                "the digest of a reassembled catalogue does not match", Code.BAD_MESSAGE
            )
        return _decompressed(compressed)

    def continues(self, part: CatalogueSlice) -> bool:
        """Return whether a part continues the catalogue being received."""
        if not self.parts or part.offset != self.received_bytes:
            return False
        last = self.parts[-1]
        return (part.version, part.digest) == (last.version, last.digest)


def slices(version: int, encoded: bytes) -> Iterator[CatalogueSlice]:
    """Yield the parts of an encoded catalogue, in order of their offsets."""
    compressed, digest = _compressed(encoded)
    for offset in range(0, len(compressed), SLICE_BYTES):
        data = compressed[offset : offset + SLICE_BYTES]
        yield CatalogueSlice(version, offset, len(compressed), digest, data)


@lru_cache(maxsize=1)
def _compressed(encoded: bytes) -> tuple[bytes, bytes]:
    # Cached, since the same catalogue is sent to every peer that lacks it.
    compressed = zlib.compress(encoded)
    return compressed, _digest(compressed)


def _digest(compressed: bytes) -> bytes:
    return hashlib.blake2b(compressed, digest_size=DIGEST_BYTES).digest()


def _decompressed(compressed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(compressed, MAX_CATALOGUE_BYTES)
    except zlib.error as error:
        raise PeerError(f"a catalogue cannot be decompressed: {error}", Code.BAD_MESSAGE) from error
    if not decompressor.eof:
        raise PeerError("a compressed catalogue is truncated or too long", Code.BAD_MESSAGE)
    return decompressed
