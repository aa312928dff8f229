# catalogueslice.py -- A part of a catalogue from a peer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A part of a catalogue from a peer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CatalogueSlice:
    """A part of a catalogue from a peer.

    Attributes:
        version: The catalogue's version.
        offset: Where the part begins, in bytes of the compressed catalogue.
        size: How many bytes the whole compressed catalogue has.
        digest: A hash of the whole compressed catalogue.
        data: The bytes.
    """

    version: int
    offset: int
    size: int
    digest: bytes
    data: bytes
