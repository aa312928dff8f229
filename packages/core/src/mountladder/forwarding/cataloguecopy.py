# cataloguecopy.py -- A catalogue from a peer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A catalogue from a peer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CatalogueCopy:
    """A catalogue from a peer.

    Attributes:
        encoded: The catalogue as it came from the store.
    """

    encoded: bytes
