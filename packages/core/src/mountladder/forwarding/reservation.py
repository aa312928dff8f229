# reservation.py -- Reservation of a slot at a backend server for a request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Reservation of a slot at a backend server for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mountladder.code import Code
from mountladder.errors import NoRoomError, RefusalError
from mountladder.forwarding.firsteventtime import first_event_ms
from mountladder.forwarding.pickedserver import PickedServer
from mountladder.routing.serverconstraints import ServerConstraints

if TYPE_CHECKING:
    from mountladder.forwarding.forwardrun import ForwardRun

# The assumed duration of a request without a prompt, as a fraction of its latency target.
OWN_TIME_FRACTION = 0.5
# After work was spent on its stages, a request may wait for this fraction of its remaining time.
BEGUN_WAIT_FRACTION = 0.75
# How often a request that waits for servers with room asks the coordinator, in milliseconds: a
# fraction of latency targets of one to two seconds, at a few messages a second.
ROOM_POLL_MS = 200.0
# The same for requests without a prompt, whose latency targets are some 200 ms and which take a
# fraction of that.
PLAIN_ROOM_POLL_MS = 25.0


class Reservation:
    """Chooses servers for a request and reserves a slot if all of them limit their request rate.

    Args:
        run: The execution of the request.

    Attributes:
        reserved: The server at which a slot is reserved, or None.
    """

    def __init__(self, run: ForwardRun) -> None:
        self.run = run
        self.picker = run.context.picker
        self.clock = run.context.clock
        self.reserved: PickedServer | None = None

    def reserve(self, stages_ms: float) -> None:
        """Reserve a slot before any stage runs, if all servers limit their request rate.

        Args:
            stages_ms: How long the stages are expected to take, in milliseconds.

        Raises:
            RefusalError: The wait for a slot, or for the end of a back-off, would be too long.
        """
        if self.picker.backoff_ms(self.run.service) > max(stages_ms, self.max_wait_ms()):
            raise self.picker.backoff_refusal(self.run.service)
        if self.picker.all_limited(self.run.service):
            self.reserved = self.pick(max(stages_ms, self.max_wait_ms()))

    def acquire(self, asked: frozenset[str] = frozenset()) -> PickedServer:
        """Choose a server, or use the reserved one, and wait until it accepts the request.

        Args:
            asked: The names of the servers that are sent the request at present.

        Raises:
            RefusalError: No server is available, or none accepts the request in time.
        """
        while True:
            self.run.tracked.admit(self.run.hold.remaining_ms())
            self.wait_for_backoff()
            reserved, self.reserved = self.reserved, None
            picked = reserved or self.pick_with_room(asked)
            waited = self.wait_for(picked)
            self.check_barred(picked)
            if not (reserved or waited) or self.picker.still_accepts(picked, self.run.service):
                return picked
            self.cancel(picked)

    def check_barred(self, picked: PickedServer) -> None:
        """Cancel the choice of a server for a request that was barred meanwhile.

        Raises:
            RefusalError: The request is barred.
        """
        try:
            self.run.tracked.check_again()
        except RefusalError:
            self.cancel(picked)
            raise

    def wait_for_backoff(self) -> None:
        """Wait while all servers ask this instance to back off.

        Raises:
            RefusalError: The back-off takes too long.
        """
        while (backoff_ms := self.picker.backoff_ms(self.run.service)) > 0:
            if backoff_ms > self.max_wait_ms():
                raise self.picker.backoff_refusal(self.run.service)
            self.run.log("backoff-wait", wait_ms=round(backoff_ms))
            self.clock.sleep(backoff_ms)

    def release(self) -> None:
        """Cancel a reservation that was not used."""
        if self.reserved is not None:
            self.cancel(self.reserved)
            self.reserved = None

    def pick_with_room(self, asked: frozenset[str]) -> PickedServer:
        """Choose a server; wait while the servers hold as many bytes as they may.

        Raises:
            RefusalError: No server is available, or none accepts the request in time.
        """
        waited_ms = 0.0
        poll_ms = PLAIN_ROOM_POLL_MS if self.run.request.prompt is None else ROOM_POLL_MS
        while True:
            try:
                return self.pick(self.max_wait_ms(), asked)
            except NoRoomError:
                if self.max_wait_ms() < poll_ms:
                    raise
            if not waited_ms:
                self.run.log("room-wait", size=len(self.run.request.body))
            waited_ms += poll_ms
            self.clock.sleep(poll_ms)
            self.run.tracked.check_again()

    def pick(self, max_wait_ms: float, asked: frozenset[str] = frozenset()) -> PickedServer:
        """Choose a server; see ServerPicker."""
        run = self.run
        constraints = ServerConstraints(
            run.excluded | asked,
            run.site,
            max_wait_ms,
            run.urgency,
            run.wants_backup,
            len(run.request.body),
            run.version,
        )
        return self.picker.pick(run.request, run.service, run.remaining_ms(), constraints)

    def max_wait_ms(self) -> float:
        """Return how long the request may wait for a slot, in milliseconds.

        That is as long as it can still meet its latency target, or longer once work was spent on
        its stages: then a late answer is better than an error, while the caller is there.
        """
        run = self.run
        target_ms, prompt = run.route.target_ms, run.request.prompt
        own_ms = first_event_ms(prompt) if prompt is not None else OWN_TIME_FRACTION * target_ms
        wait_ms = target_ms - own_ms - run.elapsed_ms() - run.age_ms
        return max(
            0.0,
            wait_ms,
            BEGUN_WAIT_FRACTION * run.hold.remaining_ms() if run.may_have_run() else 0.0,
        )

    def wait_for(self, picked: PickedServer) -> bool:
        """Wait until a server accepts the request; return whether a wait was needed."""
        wait_ms = picked.ready_at - self.clock.now()
        if wait_ms <= 0:
            return False
        self.run.log("slot-wait", server=picked.choice.state.server.name, wait_ms=round(wait_ms))
        try:
            self.clock.sleep(wait_ms)
        except BaseException:
            self.cancel(picked)
            raise
        return True

    def cancel(self, picked: PickedServer) -> None:
        """Cancel the choice of a server to which the request is not sent."""
        self.picker.failed(picked, self.run.request, self.run.service, Code.CANCELLED, 0.0)
