# worktype.py -- Types of work whose times are measured
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Types of work whose times are measured."""

from __future__ import annotations

from enum import Enum


class WorkType(Enum):
    """A type of work at backend servers; times of one type are compared with each other only."""

    CALL = "call"
    PREFILL = "prefill"
    EVENTS = "events"
    PLAIN = "plain"
