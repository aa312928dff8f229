# hedge.py -- A second attempt at a request whose server is silent
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A second attempt at a request whose server is silent."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
from gevent import Greenlet

from mountladder.errors import MountladderError
from mountladder.forwarding.forwardattempt import ForwardAttempt
from mountladder.forwarding.retryrules import hedge_obstacle
from mountladder.forwarding.secondanswer import SecondAnswer
from mountladder.forwarding.serverloss import is_lost

if TYPE_CHECKING:
    from mountladder.forwarding.forwardrun import ForwardRun

# The least time between two attempts to hedge a request, in milliseconds.
RECHECK_MS = 500.0


class Hedge:
    """Sends a request to a second server while the first one is silent.

    A sound server may be silent for a moment and go on, so that the first attempt is kept until the
    second one has an answer. The server that is heard of first answers the request, and the attempt
    at the other one is cancelled.

    Args:
        run: The execution of the request.
        attempt: The attempt at the first server.

    Attributes:
        break_connection: Breaks the connection to the first server, so that reading from it fails.
        cancel_check: Cancels the next check.
        task: Makes the second attempt, or None if none was made yet.
        answer: The answer of the second server, or None.
        is_alone: Whether the first attempt has ended, so that the second one is the only one left.
        is_over: Whether no second attempt is made any more.
    """

    def __init__(self, run: ForwardRun, attempt: ForwardAttempt) -> None:
        self.run = run
        self.attempt = attempt
        self.clock = run.context.clock
        self.break_connection: Callable[[], None] = lambda: None
        self.cancel_check: Callable[[], None] = lambda: None
        self.task: Greenlet | None = None
        self.answer: SecondAnswer | None = None
        self.is_alone = False
        self.is_over = not run.route.repeatable

    def start(self, break_connection: Callable[[], None]) -> None:
        """Start to watch the first server, given a function that breaks the connection to it."""
        self.break_connection = break_connection
        if not self.is_over:
            self.check_later(self.run.max_silence_ms())

    def stop(self) -> None:
        """Cancel the second attempt, and make no other one."""
        self.is_over = True
        self.cancel_check()
        self.cancel_task()
        if self.answer is not None:
            self.run.discard(self.answer)
            self.answer = None

    def heard(self) -> None:
        """Cancel the second attempt, since the first server has sent something."""
        if self.task is None or self.is_over:
            return
        self.cancel_check()
        self.cancel_task()
        self.check_later(self.run.max_silence_ms())

    def cancel_task(self) -> None:
        """Cancel the second attempt, which may have an answer before it is told."""
        task, self.task = self.task, None
        if task is not None:
            task.kill(block=False)

    def outcome(self) -> SecondAnswer | None:
        """Return the answer of the second server, once there is one, or None.

        The first attempt has ended.
        """
        self.is_alone = True
        self.cancel_check()
        if self.task is not None:
            self.task.join()
        self.is_over = True
        answer, self.answer = self.answer, None
        return answer

    def check_later(self, delay_ms: float) -> None:
        """Check after a delay in milliseconds whether the first server is silent."""
        self.cancel_check = self.clock.call_later(delay_ms, self.check)

    def check(self) -> None:
        """Make a second attempt if the first server is silent, otherwise check again later."""
        if self.is_over or self.is_alone:
            return
        remaining_ms = self.run.max_silence_ms() - self.run.silent_ms()
        if remaining_ms > 0:
            self.check_later(remaining_ms)
        else:
            self.task = gevent.spawn(self.make_attempt)

    def make_attempt(self) -> None:
        """Make a second attempt, and break the connection to the first server if it is answered."""
        run, task = self.run, gevent.getcurrent()
        run.context.relay.isolation.record_unanswered(run.heard_at)
        obstacle = hedge_obstacle(run, self.attempt)
        answer = None
        if not obstacle:
            try:
                answer = run.send_second(self.attempt)
            except MountladderError as error:
                obstacle = error.detail or error.code.name.lower()
        if self.task is not task:
            # The first server was heard of, or the request ended, while this task was about to run.
            if answer is not None:
                run.discard(answer)
        elif answer is None:
            self.keep_first(obstacle)
        else:
            self.answer = answer
            self.break_connection()

    def keep_first(self, obstacle: str) -> None:
        """Leave the request to the first server, unless that one is lost."""
        run, server = self.run, self.attempt.choice.state.server
        run.log(
            "attempt-kept",
            server=server.name,
            silent_ms=round(run.silent_ms()),
            remaining_ms=round(run.remaining_ms()),
            reason=obstacle,
        )
        if self.is_alone or self.is_over:
            return
        lost = is_lost(run.context.upstream, server, run.silent_ms())
        if self.task is not gevent.getcurrent():
            # The first server has answered meanwhile. Its connection may serve another request.
            return
        if lost:
            self.break_connection()
        else:
            self.check_later(max(RECHECK_MS, run.max_silence_ms()))
