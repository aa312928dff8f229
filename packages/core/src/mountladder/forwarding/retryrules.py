# retryrules.py -- Decides whether a failed forwarded request is retried
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Decides whether a failed forwarded request is retried."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mountladder.code import Code
from mountladder.errors import MountladderError, RefusalError, RunError, StageError

if TYPE_CHECKING:
    from mountladder.forwarding.forwardrun import ForwardRun
    from mountladder.forwarding.upstreamanswer import UpstreamAnswer

# Maximum number of attempts that reached a server. Each retry also spends from the retry budget.
MAX_REACHED_ATTEMPTS = 4
# Maximum number of attempts that could not connect. With this many servers gone the caller gets an
# error instead of a longer wait.
MAX_CONNECT_FAILURES = 8
# A retry with less time than this is unlikely to finish and would waste a server's work.
MIN_REMAINING_MS = 30.0
# The lowest HTTP status that reports an error of the server.
SERVER_ERROR = 500
# When a caller may retry after all tried servers were full.
FULL_RETRY_MS = 300.0
# HTTP statuses that promise callers that a request has not run and will not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Codes of attempts that timed out.
_TIMEOUT_CODES = frozenset({Code.STAGE_STALLED, Code.DEADLINE_PASSED})


def no_retry_error(run: ForwardRun, error: StageError) -> MountladderError | None:
    """Return the error for the caller if a failed request is not retried, or None if it is.

    A stream that may have run is not run again unless its route allows it, and the last event that
    was passed on has a number, behind which another server can go on. Its run may still go on
    from a copy, which is no retry; see mountladder.continuation.
    """
    if error.dispatched and not run.route.repeatable:
        return unknown_outcome(error)
    if not run.is_joinable:
        return RunError(error.detail, Code.STREAM_CUT)
    if run.remaining_ms() < MIN_REMAINING_MS:
        return caller_error(run, RunError("not enough time left for a retry", Code.DEADLINE_PASSED))
    if run.context.relay.can_take_over(run):
        # Each further attempt would wait for a connection in vain.
        return caller_error(run, RunError(error.detail, error.code))
    if is_exhausted(run, run.possible_runs):
        return caller_error(run, RunError(error.detail, error.code))
    was_reached = error.code is not Code.CONNECT_FAILED
    if was_reached and not run.context.budgets.spend(run.service, run.request.id):
        return caller_error(run, RunError(error.detail, Code.RETRY_BUDGET_SPENT))
    return None


def hedge_obstacle(run: ForwardRun, asked: frozenset[str], in_progress: int) -> str:
    """Return why a request may not be sent to a further server while others are silent, or "".

    The retry is taken out of the service's budget once a server is chosen.

    Args:
        run: The execution of the request.
        asked: The names of the servers that were sent it.
        in_progress: The number of attempts in progress; their servers may run it.
    """
    if run.remaining_ms() < MIN_REMAINING_MS:
        return "there is not enough time left"
    if not run.is_joinable:
        return "its last event has no number"
    if is_exhausted(run, run.possible_runs + in_progress):
        return "no further attempt is allowed"
    if not run.context.picker.has_server(run.service, run.version, run.excluded | asked):
        return "no other server is available"
    if run.is_retry_paid or run.context.budgets.of_requests(run.service).allows():
        return ""
    return "the retry budget is spent"


def is_exhausted(run: ForwardRun, possible_runs: int) -> bool:
    """Return whether a request may not be attempted again if so many servers may have run it."""
    reached = run.attempts - run.connect_failures
    return (
        possible_runs >= run.route.max_attempts
        or reached >= MAX_REACHED_ATTEMPTS
        or run.connect_failures >= MAX_CONNECT_FAILURES
    )


def status_error(answer: UpstreamAnswer) -> StageError:
    """Return the error for an answer with an error status."""
    return StageError(f"status {answer.status}", Code.STAGE_FAILED)


def unknown_outcome(error: StageError) -> RunError:
    """Return the error for the caller of a request that may have run and is not sent again."""
    code = Code.DEADLINE_PASSED if error.code in _TIMEOUT_CODES else Code.OUTCOME_UNKNOWN
    return RunError(error.detail, code)


def caller_error(run: ForwardRun, error: MountladderError) -> MountladderError:
    """Return an error as the caller gets it: a refusal only if nothing was executed."""
    may_have_run = run.may_have_run()
    if may_have_run and isinstance(error, RefusalError):
        quarantined = error.code is Code.QUARANTINED
        return RunError(error.detail, Code.SERVERS_ENDED if quarantined else None)
    if may_have_run or isinstance(error, RefusalError):
        return error
    retry_after_ms = max(FULL_RETRY_MS, run.context.picker.backoff_ms(run.service))
    return RefusalError(error.detail, Code.SERVERS_FULL, retry_after_ms=retry_after_ms)
