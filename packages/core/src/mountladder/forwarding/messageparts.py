# messageparts.py -- Splits long lists into messages of bounded size
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Splits long lists into messages of bounded size."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

from mountladder.forwarding.directory import Directory
from mountladder.forwarding.directorycopy import DirectoryCopy
from mountladder.store.position import BEGINNING, Position

Entry = TypeVar("Entry")

# The maximum number of entries in one message. At about 120 bytes each they are as large as a part
# of a catalogue.
MAX_ENTRIES = 64


def chunked(entries: Sequence[Entry]) -> list[tuple[Entry, ...]]:
    """Return entries in tuples that each fit into one message."""
    starts = range(0, len(entries), MAX_ENTRIES)
    return [tuple(entries[start : start + MAX_ENTRIES]) for start in starts]


def directory_copies(directory: Directory, since: Position) -> list[DirectoryCopy]:
    """Return messages with the entries of a directory that changed after a position.

    Only the last message carries the position up to which the list is complete, since a receiver
    that has only the others lacks entries.
    """
    reappear_ms = directory.reappear_ms()
    parts = chunked(directory.changed_since(since)) or [()]
    first = [DirectoryCopy(BEGINNING, part, reappear_ms) for part in parts[:-1]]
    return [*first, DirectoryCopy(directory.position, parts[-1], reappear_ms)]
