# catalogueslice.py -- Message with one part of a compressed catalogue
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message with one part of a compressed catalogue."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CatalogueSlice:
    """Message with one part of a compressed catalogue.

    Attributes:
        version: The catalogue's version.
        offset: The part's offset in the compressed catalogue, in bytes.
        size: The size of the whole compressed catalogue, in bytes.
        digest: A hash of the whole compressed catalogue.
        data: The bytes of this part.
    """

    version: int
    offset: int
    size: int
    digest: bytes
    data: bytes
