# silencewatch.py -- Ends the wait for a silent backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Ends the wait for a silent backend server."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
from gevent import Greenlet

from mountladder.clocks.clock import MIN_DELAY_MS, Clock
from mountladder.errors import WaitTimeoutError
from mountladder.requests.stagecall import StageCall

# Interval between questions whether a call that is overdue may be given up.
RECHECK_MS = 500.0


class SilenceWatch:
    """Ends the wait for a server that is silent for too long, if its call may be given up.

    A sound server may be silent for a moment and go on, so that the call is kept up to its deadline
    where no other attempt may follow. One timer serves all waits of a call.

    Args:
        call: The call.
        clock: The clock.

    Attributes:
        limit_ms: How long the server may be silent before the question is asked.
        task: The task that waits for the server, or None.
        since: When it began to wait, in the clock's milliseconds.
        cancel_check: Cancels the next check, or None before the first wait.
    """

    def __init__(self, call: StageCall, clock: Clock) -> None:
        self.call = call
        self.clock = clock
        self.limit_ms = call.first_token_timeout_ms
        self.task: Greenlet | None = None
        self.since = 0.0
        self.cancel_check: Callable[[], None] | None = None

    @contextmanager
    def waiting(self) -> Iterator[None]:
        """Raise WaitTimeoutError in the calling task if the wait in the block is ended."""
        if self.clock.now() >= self.call.deadline:
            raise WaitTimeoutError("the deadline has passed")
        self.task, self.since = gevent.getcurrent(), self.clock.now()
        if self.cancel_check is None:
            self.check_later(self.limit_ms)
        try:
            yield
        finally:
            self.task = None

    def heard(self) -> None:
        """Record that the stream has begun."""
        self.limit_ms = self.call.stall_timeout_ms

    def stop(self) -> None:
        """Stop watching."""
        if self.cancel_check is not None:
            self.cancel_check()

    def check_later(self, delay_ms: float) -> None:
        """Check after a delay in milliseconds, at the deadline at the latest."""
        delay_ms = min(delay_ms, self.call.deadline - self.clock.now())
        self.cancel_check = self.clock.call_later(max(MIN_DELAY_MS, delay_ms), self.check)

    def check(self) -> None:
        """End the wait if it is too long and the call may be given up, or check again later."""
        now = self.clock.now()
        silent_ms = now - self.since if self.task is not None else 0.0
        if now >= self.call.deadline:
            self.end()
        elif silent_ms < self.limit_ms:
            self.check_later(self.limit_ms - silent_ms)
        elif self.call.may_give_up():
            self.end()
        else:
            self.check_later(RECHECK_MS)

    def end(self) -> None:
        """Raise the error in the task that waits."""
        gevent.get_hub().loop.run_callback(self.throw)

    def throw(self) -> None:
        """Raise the error, unless the server was heard of meanwhile."""
        if self.task is not None:
            silent_ms = self.clock.now() - self.since
            self.task.throw(WaitTimeoutError(f"silent for {silent_ms:.0f} ms"))
