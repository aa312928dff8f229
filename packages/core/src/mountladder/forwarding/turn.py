# turn.py -- Reservation of a slot at a backend server for a request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Reservation of a slot at a backend server for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mountladder.code import Code
from mountladder.forwarding.finishtime import finish_ms
from mountladder.forwarding.picked import Picked
from mountladder.routing.serverwish import ServerWish

if TYPE_CHECKING:
    from mountladder.forwarding.forwardrun import ForwardRun

# The assumed duration of a request without a prompt, as a fraction of its latency target.
OWN_PART = 0.5
# After work was spent on its stages, a request may wait for this fraction of its remaining time.
BEGUN_PART = 0.75


class Turn:
    """Chooses servers for a request and reserves a slot if all of them limit their request rate.

    Args:
        run: The execution of the request.

    Attributes:
        booked: The server at which a slot is reserved, or None.
    """

    def __init__(self, run: ForwardRun) -> None:
        self.run = run
        self.picker = run.context.picker
        self.clock = run.context.clock
        self.booked: Picked | None = None

    def book(self, stages_ms: float) -> None:
        """Reserve a slot before any stage runs, if all servers limit their request rate.

        Args:
            stages_ms: How long the stages are expected to take, in milliseconds.

        Raises:
            RefusalError: The wait for a slot, or for the end of a back-off, would be too long.
        """
        if self.picker.rest_ms(self.run.service) > max(stages_ms, self.patience_ms()):
            raise self.picker.resting(self.run.service)
        if self.picker.is_scarce(self.run.service):
            self.booked = self.pick(max(stages_ms, self.patience_ms()))

    def take(self) -> Picked:
        """Choose a server, or use the reserved one, and wait until it accepts the request.

        Raises:
            RefusalError: No server is available, or none accepts the request in time.
        """
        while True:
            self.run.case.admit(self.run.left())
            self.wait_for_rest()
            booked, self.booked = self.booked, None
            picked = booked or self.pick(self.patience_ms())
            waited = self.wait_for(picked)
            if not (booked or waited) or self.picker.is_open(picked, self.run.service):
                return picked
            self.give_back(picked)

    def wait_for_rest(self) -> None:
        """Wait while all servers ask this instance to back off.

        Raises:
            RefusalError: The back-off takes too long.
        """
        while (rest_ms := self.picker.rest_ms(self.run.service)) > 0:
            if rest_ms > self.patience_ms():
                raise self.picker.resting(self.run.service)
            self.run.log("backoff-wait", wait_ms=round(rest_ms))
            self.clock.sleep(rest_ms)

    def drop(self) -> None:
        """Cancel a reservation that was not used."""
        if self.booked is not None:
            self.give_back(self.booked)
            self.booked = None

    def pick(self, patience_ms: float) -> Picked:
        """Choose a server; see ServerPicker."""
        run = self.run
        wish = ServerWish(run.excluded, run.site, patience_ms, run.urgency)
        return self.picker.pick(run.request, run.service, run.left(), wish)

    def patience_ms(self) -> float:
        """Return how long the request may wait for a slot, in milliseconds.

        That is as long as it can still meet its latency target, or longer once work was spent on
        its stages: then a late answer is better than an error.
        """
        run = self.run
        aim_ms, prompt = run.route.aim_ms, run.request.prompt
        own_ms = finish_ms(prompt) if prompt is not None else OWN_PART * aim_ms
        wait_ms = aim_ms - own_ms - run.elapsed() - run.age_ms
        return max(0.0, wait_ms, BEGUN_PART * run.left() if run.has_begun() else 0.0)

    def wait_for(self, picked: Picked) -> bool:
        """Wait until a server accepts the request; return whether a wait was needed."""
        wait_ms = picked.ready_at - self.clock.now()
        if wait_ms <= 0:
            return False
        self.run.log("slot-wait", server=picked.choice.state.server.name, wait_ms=round(wait_ms))
        try:
            self.clock.sleep(wait_ms)
        except BaseException:
            self.give_back(picked)
            raise
        return True

    def give_back(self, picked: Picked) -> None:
        """Cancel the choice of a server to which the request is not sent."""
        self.picker.failed(picked, self.run.request, self.run.service, Code.CANCELLED, 0.0)
