# hedge.py -- A second attempt at a request whose server is silent
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A second attempt at a request whose server is silent."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
from eliot import write_traceback
from gevent import Greenlet, GreenletExit

from mountladder.clocks.clock import MIN_DELAY_MS
from mountladder.code import Code
from mountladder.errors import MountladderError, StageError
from mountladder.forwarding.forwardattempt import ForwardAttempt
from mountladder.forwarding.retryrules import hedge_obstacle
from mountladder.forwarding.secondanswer import SecondAnswer
from mountladder.forwarding.serverloss import is_lost
from mountladder.metrics.metric import Metric

if TYPE_CHECKING:
    from mountladder.forwarding.forwardrun import ForwardRun

# The least time between two attempts to hedge a request, in milliseconds.
RECHECK_MS = 500.0


class Hedge:
    """Sends a request to a second server while the first one is silent.

    A sound server may be silent for a moment and go on, so that the first attempt is kept until the
    second one has an answer. The server that is heard of first answers the request, and the attempt
    at the other one is cancelled. A second server that is silent as well is replaced by a further
    one, if the request may be sent to so many.

    Args:
        run: The execution of the request.
        attempt: The attempt at the first server.

    Attributes:
        break_connection: Breaks the connection to the first server, so that reading from it fails.
        cancel_check: Cancels the next check.
        task: Makes the second attempt, or None if there is none.
        asked: The names of the servers that were sent the request.
        second_sent_at: When the second server was sent the request, in the clock's milliseconds, or
            None if it was not yet.
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
        self.asked = frozenset({attempt.server})
        self.second_sent_at: float | None = None
        self.answer: SecondAnswer | None = None
        self.is_alone = False
        self.is_over = not run.route.repeatable

    def start(self, break_connection: Callable[[], None]) -> None:
        """Start to watch the first server, given a function that breaks the connection to it."""
        self.break_connection = break_connection
        if not self.is_over:
            self.check_later(self.run.max_silence_ms(self.run.has_begun))

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
        self.check_later(self.run.max_silence_ms(self.run.has_begun))

    def check_first(self, attempt: ForwardAttempt) -> None:
        """Check that events of an attempt may be passed on, also if this took a moment.

        Raises:
            StageError: It is the first one, and the second server has answered instead.
        """
        if attempt is self.attempt and self.answer is not None:
            raise StageError("another server was heard of first", Code.STAGE_STALLED)

    def cancel_task(self) -> None:
        """Cancel the second attempt, which may have an answer before it is told."""
        task, self.task = self.task, None
        self.second_sent_at = None
        if task is not None:
            task.kill(block=False)

    def outcome(self) -> SecondAnswer | None:
        """Return the answer of the second server, once there is one, or None.

        The first attempt has ended.
        """
        self.is_alone = True
        while self.is_in_progress():
            self.task.join()
        self.is_over = True
        self.cancel_check()
        answer, self.answer = self.answer, None
        return answer

    def is_in_progress(self) -> bool:
        """Return whether a second attempt is in progress."""
        return self.task is not None and not self.task.dead

    def record_sent(self, server: str) -> None:
        """Record that a second server is sent the request."""
        self.asked |= {server}
        self.second_sent_at = self.clock.now()

    def check_later(self, delay_ms: float) -> None:
        """Check after a delay in milliseconds whether the servers are silent."""
        self.cancel_check = self.clock.call_later(max(MIN_DELAY_MS, delay_ms), self.check)

    def check(self) -> None:
        """Make a further attempt if the servers are silent, otherwise check again later."""
        if self.is_over:
            return
        remaining_ms = self.remaining_silence_ms()
        if remaining_ms > 0:
            self.check_later(remaining_ms)
            return
        is_second = self.is_in_progress()
        if self.is_alone and not is_second:
            return
        self.run.context.relay.isolation.record_unanswered(self.run.heard_at)
        obstacle = hedge_obstacle(self.run, self.asked, 1 + is_second)
        if not obstacle:
            self.cancel_task()
            self.task = gevent.spawn(self.make_attempt, self.run.send_second)
        elif not is_second:
            self.task = gevent.spawn(self.keep_first, obstacle)
        self.check_later(max(RECHECK_MS, self.run.max_silence_ms(self.run.has_begun)))

    def remaining_silence_ms(self) -> float:
        """Return for how long the servers may still be silent, in milliseconds."""
        run, remaining_ms = self.run, 0.0
        if not self.is_alone:
            remaining_ms = run.max_silence_ms(run.has_begun) - run.silent_ms()
        if self.is_in_progress():
            sent_at = self.second_sent_at
            waited_ms = 0.0 if sent_at is None else self.clock.now() - sent_at
            remaining_ms = max(remaining_ms, run.max_silence_ms(False) - waited_ms)
        return remaining_ms

    def make_attempt(self, send_second: Callable[[Hedge], SecondAnswer]) -> None:
        """Make a second attempt, and break the connection to the first server if it is answered.

        Args:
            send_second: Sends the request to a second server; a method of the run, which is kept
                until the attempt has ended.
        """
        task, answer = gevent.getcurrent(), None
        try:
            answer = send_second(self)
        except GreenletExit:
            # As the result of the task it would keep this frame, and that the task.
            return
        except MountladderError as error:
            obstacle = error.detail
        except Exception:  # the first attempt goes on
            write_traceback()
            obstacle = Code.INTERNAL.meaning
        if self.task is not task:
            # The first server was heard of, or the request ended, while this task was about to run.
            if answer is not None:
                self.run.discard(answer)
        elif answer is None:
            self.second_sent_at = None
            self.keep_first(obstacle)
        else:
            self.answer = answer
            self.break_connection()

    def keep_first(self, obstacle: str) -> None:
        """Leave the request to the first server, unless that one is lost."""
        if self.is_alone:
            return
        run, server = self.run, self.attempt.choice.state.server
        run.context.metrics.count(Metric.ATTEMPTS_KEPT)
        run.log(
            "attempt-kept",
            server=server.name,
            silent_ms=round(run.silent_ms()),
            remaining_ms=round(run.remaining_ms()),
            reason=obstacle,
        )
        lost = is_lost(run.context.upstream, server, run.silent_ms())
        # The first server may have answered meanwhile, and its connection serve another request.
        if lost and self.task is gevent.getcurrent():
            self.break_connection()
