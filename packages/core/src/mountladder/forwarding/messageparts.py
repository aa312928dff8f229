# messageparts.py -- Lists as they travel between instances, in parts
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Lists as they travel between instances, in parts."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

from mountladder.forwarding.directory import Directory
from mountladder.forwarding.directorycopy import DirectoryCopy
from mountladder.store.position import BEGINNING, Position

Entry = TypeVar("Entry")

# The most entries in one message: at some 120 bytes each about as much as a part of a catalogue.
MOST_ENTRIES = 64


def parts_of(entries: Sequence[Entry]) -> list[tuple[Entry, ...]]:
    """Return entries in parts that each fit into one message."""
    starts = range(0, len(entries), MOST_ENTRIES)
    return [tuple(entries[start : start + MOST_ENTRIES]) for start in starts]


def directory_copies(directory: Directory, since: Position) -> list[DirectoryCopy]:
    """Return the entries of a list of servers that changed after a position, as messages.

    Only the last one tells up to which position the list is known, since whoever has the others
    alone lacks entries.
    """
    lapse_ms = directory.lapse_ms()
    parts = parts_of(directory.since(since)) or [()]
    first = [DirectoryCopy(BEGINNING, part, lapse_ms) for part in parts[:-1]]
    return [*first, DirectoryCopy(directory.position, parts[-1], lapse_ms)]
