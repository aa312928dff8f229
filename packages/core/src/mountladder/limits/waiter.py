# waiter.py -- Request that waits for admission
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Request that waits for admission."""

from __future__ import annotations

from gevent.event import Event

from mountladder.configuration.team import Team
from mountladder.errors import RefusalError


class Waiter:
    """A request that waits for admission.

    Attributes:
        team: Its team.
        urgency: Its pipeline's urgency; a lower number is shed later.
        latest: The latest time of admission, in the clock's milliseconds.
        decided: Set once it was admitted or refused.
        refusal: Why it was refused, or None.
    """

    def __init__(self, team: Team, urgency: int, latest: float) -> None:
        self.team = team
        self.urgency = urgency
        self.latest = latest
        self.decided = Event()
        self.refusal: RefusalError | None = None

    def refuse(self, refusal: RefusalError) -> None:
        """Refuse the request and wake its greenlet."""
        self.refusal = refusal
        self.decided.set()
