# toomuchreaderror.py -- The other end of a connection sends more than a step may read
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The other end of a connection sends more than a step may read."""

from __future__ import annotations


class TooMuchReadError(OSError):
    """The other end of a connection sends more than a step may read."""
