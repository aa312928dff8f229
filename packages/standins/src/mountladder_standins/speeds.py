# speeds.py -- Speed parameters of a stand-in backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Speed parameters of a stand-in backend server."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Speeds:
    """The times of a server on a new accelerator, and the factor of an older one.

    Attributes:
        factor: The factor by which all times are longer.
        slots: How many concurrent calls run without slowing each other.
        base_ms: The minimum time of a call, in milliseconds.
        per_kb_ms: The time that 1,000 bytes of input add to encoding, reranking and prefill.
        token_ms: The time between two tokens, in milliseconds.
        prefix_saving: The fraction of the prefill time that a cached prefix saves.
        prefixes: The maximum number of cached prefixes.
    """

    factor: float = 1.0
    slots: int = 8
    base_ms: float = 5.0
    per_kb_ms: float = 2.0
    token_ms: float = 4.0
    prefix_saving: float = 0.7
    prefixes: int = 64
