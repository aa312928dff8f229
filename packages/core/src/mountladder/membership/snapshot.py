# snapshot.py -- A whole configuration sent to a peer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A whole configuration sent to a peer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A whole configuration, for a peer that is too far behind.

    Attributes:
        value: The configuration as it stands in the object store.
    """

    value: bytes
