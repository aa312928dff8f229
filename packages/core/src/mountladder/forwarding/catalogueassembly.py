# catalogueassembly.py -- A catalogue as it travels between instances, in parts
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A catalogue as it travels between instances, in parts."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterator
from functools import lru_cache

from mountladder.code import Code
from mountladder.errors import PeerError
from mountladder.forwarding.catalogueslice import CatalogueSlice

# A part takes 13 ms on the thinnest links in use, 5 Mbit/s, so that heartbeats and stages of
# requests wait no longer than that behind one.
SLICE_BYTES = 8_192
# The largest catalogue that is taken in, before and after it is decompressed: 3,600 teams with
# 10,000 routes come to some 2 MB.
MOST_CATALOGUE_BYTES = 8 << 20
DIGEST_BYTES = 16


class CatalogueAssembly:
    """Puts the parts of one catalogue together that come over one link.

    Parts come in order, since a link keeps it. Parts of two versions are never joined: one that
    does not follow the last begins anew where it is a first part, and is left out otherwise.

    Attributes:
        parts: The parts so far.
        gathered: How many bytes they have.
    """

    def __init__(self) -> None:
        self.parts: list[CatalogueSlice] = []
        self.gathered = 0

    def add(self, part: CatalogueSlice) -> bytes | None:
        """Take in a part; return the whole catalogue with the last one.

        Raises:
            PeerError: It is too large, or the parts are not those of one catalogue.
        """
        if part.size > MOST_CATALOGUE_BYTES:
            raise PeerError(f"a catalogue of {part.size} bytes", Code.BAD_MESSAGE)
        if part.offset == 0:
            self.parts, self.gathered = [], 0
        elif not self.follows(part):
            return None
        self.parts.append(part)
        self.gathered += len(part.data)
        if self.gathered < part.size:
            return None
        compressed = b"".join(one.data for one in self.parts)
        self.parts, self.gathered = [], 0
        if len(compressed) != part.size or _digest(compressed) != part.digest:
            raise PeerError("the parts of a catalogue do not fit together", Code.BAD_MESSAGE)
        return _inflated(compressed)

    def follows(self, part: CatalogueSlice) -> bool:
        """Tell whether a part is the next one of the catalogue under way."""
        if not self.parts or part.offset != self.gathered:
            return False
        last = self.parts[-1]
        return (part.version, part.digest) == (last.version, last.digest)


def slices(version: int, encoded: bytes) -> Iterator[CatalogueSlice]:
    """Yield the parts of a catalogue, in order."""
    compressed, digest = _compressed(encoded)
    for offset in range(0, len(compressed), SLICE_BYTES):
        data = compressed[offset : offset + SLICE_BYTES]
        yield CatalogueSlice(version, offset, len(compressed), digest, data)


@lru_cache(maxsize=1)
def _compressed(encoded: bytes) -> tuple[bytes, bytes]:
    # The same catalogue goes to every peer that lacks it.
    compressed = zlib.compress(encoded)
    return compressed, _digest(compressed)


def _digest(compressed: bytes) -> bytes:
    return hashlib.blake2b(compressed, digest_size=DIGEST_BYTES).digest()


def _inflated(compressed: bytes) -> bytes:
    inflater = zlib.decompressobj()
    try:
        inflated = inflater.decompress(compressed, MOST_CATALOGUE_BYTES)
    except zlib.error as error:
        raise PeerError(f"a catalogue cannot be read: {error}", Code.BAD_MESSAGE) from error
    if not inflater.eof:
        raise PeerError("a catalogue is cut or too long", Code.BAD_MESSAGE)
    return inflated
