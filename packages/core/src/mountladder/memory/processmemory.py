# processmemory.py -- Measures the memory that the process uses
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Measures the memory that the process uses."""

from __future__ import annotations

import resource
from pathlib import Path

BYTES_PER_KB = 1_024
_STATM = Path("/proc/self/statm")


def process_bytes() -> int:
    """Return the memory that the process uses, in bytes.

    The maximum that getrusage reports includes that of the process which started this one, up to
    its exec. The current use is read where the system has it, and is never above the maximum.
    """
    maximum = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KB
    try:
        pages = int(_STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return maximum
    return min(maximum, pages * resource.getpagesize())
