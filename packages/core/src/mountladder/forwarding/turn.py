# turn.py -- A request's turn at a backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A request's turn at a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mountladder.code import Code
from mountladder.forwarding.finishtime import finish_ms
from mountladder.forwarding.picked import Picked
from mountladder.routing.serverconstraints import ServerConstraints

if TYPE_CHECKING:
    from mountladder.forwarding.forwardrun import ForwardRun

# The part of its aim that a request without a prompt is taken to need itself.
OWN_PART = 0.5
# Once work of its stages is spent, a request waits for this part of all the time that it has.
BEGUN_PART = 0.75


class Turn:
    """Chooses servers for a request, and waits where all of them limit what they take.

    Args:
        run: The request.

    Attributes:
        booked: The server at which it has a turn already, or None.
    """

    def __init__(self, run: ForwardRun) -> None:
        self.run = run
        self.picker = run.context.picker
        self.clock = run.context.clock
        self.booked: Picked | None = None

    def book(self, stages_ms: float) -> None:
        """Have a turn kept before any stage is run, where all servers limit what they take.

        Args:
            stages_ms: How long its stages are expected to take.

        Raises:
            RefusalError: It would have to wait too long for it, or for servers that want rest.
        """
        if self.picker.rest_ms(self.run.service) > max(stages_ms, self.patience_ms()):
            raise self.picker.resting(self.run.service)
        if self.picker.is_scarce(self.run.service):
            self.booked = self.pick(max(stages_ms, self.patience_ms()))

    def take(self) -> Picked:
        """Choose a server, and wait until it takes the request.

        Raises:
            RefusalError: No server can be used, or none takes it in time.
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
        """Wait while all servers want no requests from here, where that ends soon enough.

        Raises:
            RefusalError: It does not.
        """
        while (rest_ms := self.picker.rest_ms(self.run.service)) > 0:
            if rest_ms > self.patience_ms():
                raise self.picker.resting(self.run.service)
            self.run.log("waits-for-rest", wait_ms=round(rest_ms))
            self.clock.sleep(rest_ms)

    def drop(self) -> None:
        """Give up a turn that was not taken."""
        if self.booked is not None:
            self.give_back(self.booked)
            self.booked = None

    def pick(self, patience_ms: float) -> Picked:
        """Choose a server; see ServerPicker."""
        run = self.run
        wish = ServerConstraints(run.excluded, run.site, patience_ms, run.urgency)
        return self.picker.pick(run.request, run.service, run.left(), wish)

    def patience_ms(self) -> float:
        """Return how long the request may wait for its turn and be on time, in milliseconds.

        One of whose stages work is spent already is better late than failed.
        """
        run = self.run
        aim_ms, prompt = run.route.aim_ms, run.request.prompt
        own_ms = finish_ms(prompt) if prompt is not None else OWN_PART * aim_ms
        wait_ms = aim_ms - own_ms - run.elapsed() - run.age_ms
        return max(0.0, wait_ms, BEGUN_PART * run.left() if run.has_begun() else 0.0)

    def wait_for(self, picked: Picked) -> bool:
        """Wait until a server takes the request; tell whether that took any time."""
        wait_ms = picked.ready_at - self.clock.now()
        if wait_ms <= 0:
            return False
        self.run.log("waits", server=picked.choice.state.server.name, wait_ms=round(wait_ms))
        try:
            self.clock.sleep(wait_ms)
        except BaseException:
            self.give_back(picked)
            raise
        return True

    def give_back(self, picked: Picked) -> None:
        """Take back the choice of a server that is not sent the request."""
        self.picker.failed(picked, self.run.request, self.run.service, Code.CANCELLED, 0.0)
