# speeds.py -- How fast a stand-in backend server is
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How fast a stand-in backend server is."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Speeds:
    """The times of a server on a new accelerator; an older one takes a multiple.

    Attributes:
        factor: By how much longer everything takes.
        slots: How many calls run side by side without slowing each other.
        base_ms: The least time of a call.
        per_kb_ms: The time a thousand bytes of input add to encoding, reranking and prefill.
        token_ms: The time between two tokens.
        prefix_saving: The part of the prefill that a cached prefix saves.
        prefixes: How many prefixes the cache holds.
    """

    factor: float = 1.0
    slots: int = 8
    base_ms: float = 5.0
    per_kb_ms: float = 2.0
    token_ms: float = 4.0
    prefix_saving: float = 0.7
    prefixes: int = 64
