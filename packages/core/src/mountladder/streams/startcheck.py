# startcheck.py -- A question to a backend server when it started
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A question to a backend server when it started."""

from __future__ import annotations

from dataclasses import dataclass, field

from gevent.event import Event


@dataclass(slots=True)
class StartCheck:
    """A question to a backend server when it started.

    Attributes:
        asked_at: When it was asked, in the clock's milliseconds.
        born: When it started, in milliseconds since 1970, or None if it has not said so.
        ended: Set once it has answered, or failed to.
    """

    asked_at: float
    born: int | None = None
    ended: Event = field(default_factory=Event)
