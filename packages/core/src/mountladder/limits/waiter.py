# waiter.py -- A request that waits to be admitted
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A request that waits to be admitted."""

from __future__ import annotations

from gevent.event import Event

from mountladder.configuration.team import Team
from mountladder.errors import RefusalError


class Waiter:
    """A request that waits to be admitted.

    Attributes:
        team: Its team.
        urgency: Its pipeline's urgency; a lower number is shed later.
        latest: When it must be admitted at the latest to be in time.
        settled: Set once it was admitted or refused.
        refusal: Why it was refused, or None.
    """

    def __init__(self, team: Team, urgency: int, latest: float) -> None:
        self.team = team
        self.urgency = urgency
        self.latest = latest
        self.settled = Event()
        self.refusal: RefusalError | None = None

    def refuse(self, refusal: RefusalError) -> None:
        """Refuse it."""
        self.refusal = refusal
        self.settled.set()
